/** What the headers of a caller's request say about it, in terms common to all header dialects. */
export type RequestMetadata = {
	/** Id of the caller's request; undefined when it sends none. */
	readonly id: string | undefined;
	/** How long the caller waits for the answer, milliseconds; undefined when it does not say. */
	readonly deadlineMs: number | undefined;
	/** Id of the last event that the caller received of an interrupted stream; undefined when it does not resume one. */
	readonly lastEventId: number | undefined;
	/** Ids of the parts of its prompt that other requests may share, in order; empty when it names none. */
	readonly promptParts: readonly string[];
};
