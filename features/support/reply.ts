/** What a caller got. */
export type Reply = {
	/** 0: the connection was cut before any answer. */
	readonly status: number;
	readonly headers: Readonly<Record<string, unknown>>;
	readonly text: string;
	/** Whether the answer ended as HTTP says a whole answer ends. */
	readonly isComplete: boolean;
};
