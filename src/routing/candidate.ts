/** A target as routing decisions see it. */
export type Candidate = {
	readonly id: string;
	/** 32-bit hash of the id, for prefix affinity. */
	readonly hash: number;
	readonly isLocal: boolean;
	/** Requests running at the target, as last reported. */
	readonly running: number;
	/** Requests waiting at the target, as last reported. */
	readonly waiting: number;
	/** Requests that this entry has sent since that report. */
	readonly sentSinceReport: number;
	/** Requests that the target can run at once. */
	readonly concurrency: number;
	/** Mean service time of a request at the target, milliseconds. */
	readonly serviceMs: number;
};
