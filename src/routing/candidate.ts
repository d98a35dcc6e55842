/** What a routing decision knows of one target. */
export type Candidate = {
	readonly id: string;
	/** Hash of the id, for prefix affinity. */
	readonly hash: number;
	readonly isLocal: boolean;
	/** Requests running at the target, as last reported. */
	readonly running: number;
	/** Requests waiting at the target, as last reported. */
	readonly waiting: number;
	/** Requests this entry sent since that report. */
	readonly sentSinceReport: number;
	/** Requests that the target runs at once. */
	readonly concurrency: number;
	/** Mean time that the target spends on a request, milliseconds. */
	readonly serviceMs: number;
};
