/** What a replay came to. */
export type ReplaySummary = {
	readonly intervals: number;
	readonly meanSkew: number;
	readonly p95Skew: number;
	/** Mean of the lower bounds on skew. */
	readonly boundSkew: number;
	/** Copies moved; the first map is free. */
	readonly moves: number;
	/** Intervals that began with another map than the one before. */
	readonly switches: number;
	readonly planningP50Ms: number;
	readonly planningP99Ms: number;
};
