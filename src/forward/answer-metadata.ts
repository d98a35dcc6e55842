/** What the head of an answer says about the answer and the target, in terms common to all header dialects. */
export type AnswerMetadata = {
	readonly status: number;
	/** Id of the request that is answered; undefined when the target does not send one. */
	readonly requestId: string | undefined;
	/** Id of the target that answered; undefined when it does not send one, as most do not. */
	readonly targetId: string | undefined;
	/** Whether the target states that it did not run the request. */
	readonly isNotRun: boolean;
	/** Whether the target states that its whole group has stopped. */
	readonly isGroupDown: boolean;
	/** Whether another target than the intended one answered; the intended one is gone then. */
	readonly isMisdirected: boolean;
	/** Whether the target has signed the answer. */
	readonly isSigned: boolean;
	/** Whether the target announces that it is leaving and takes no new requests. */
	readonly isLeaving: boolean;
	/** Cooldown that the target requests, milliseconds; undefined when it requests none, or in a form that cannot be parsed. */
	readonly retryAfterMs: number | undefined;
	/** Rate limit of the target for all entries together; undefined when it states none. */
	readonly limit: {
		/** Requests per second; undefined when the value cannot be parsed. */
		readonly perSecond: number | undefined;
	} | undefined;
	/** `Retry-After` as the target sent it, for the log. */
	readonly retryAfterText: string | undefined;
};
