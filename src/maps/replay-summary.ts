/** Summary of a replay. */
export type ReplaySummary = {
	readonly intervals: number;
	readonly meanSkew: number;
	readonly p95Skew: number;
	/** Mean of the lower bounds on skew. */
	readonly boundSkew: number;
	/** Copies placed; those of the initial map are not counted. */
	readonly moves: number;
	/** Intervals that started with another map than the one before. */
	readonly switches: number;
	readonly planningP50Ms: number;
	readonly planningP99Ms: number;
};
