/** What a target says of its answer, and of itself, beside status and body. */
export type AnswerMetadata = {
	readonly status: number;
	/** Id of the request that the answer belongs to; undefined when the target names none. */
	readonly requestId: string | undefined;
	/** Id of the target that answers; undefined when it does not say, as most do not. */
	readonly targetId: string | undefined;
	/** Whether the target says that it did not run the request. */
	readonly isNotRun: boolean;
	/** Whether the target says that it is stopped with the group that it belongs to. */
	readonly isGroupDown: boolean;
	/** Whether the target is another one than the request was meant for, which is gone then. */
	readonly isMisdirected: boolean;
	/** Whether the target has signed the answer as its own. */
	readonly isSigned: boolean;
	/** Whether the target says that it is about to leave, and wants nothing new. */
	readonly isLeaving: boolean;
	/** How long the target wants nothing from this process, milliseconds; undefined when it does not say, or not so that it can be read. */
	readonly retryAfterMs: number | undefined;
	/** The rate at which the target takes requests from all entries together; undefined when it names none. */
	readonly limit: {
		/** Undefined when what it names cannot be read. */
		readonly perSecond: number | undefined;
	} | undefined;
	/** What it said of its rest, as it was sent, for the log. */
	readonly retryAfterText: string | undefined;
};
