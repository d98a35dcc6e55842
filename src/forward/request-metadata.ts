/** What a caller says of its request beside method, path and body. */
export type RequestMetadata = {
	/** Id of the caller's attempt; undefined when there is none. */
	readonly id: string | undefined;
	/** How long the caller will wait, milliseconds; undefined when it does not say. */
	readonly deadlineMs: number | undefined;
	/** Id of the last event that the caller has of a stream that broke. */
	readonly lastEventId: number | undefined;
};
