/** The reply to a request as its caller received it. */
export type Reply = {
	/** HTTP status; 0 if the connection was closed before any answer. */
	readonly status: number;
	readonly headers: Readonly<Record<string, unknown>>;
	readonly text: string;
	/** Whether the body ended as HTTP requires of a complete one. */
	readonly isComplete: boolean;
};
