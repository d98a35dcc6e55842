/** What became of the streams of a played scenario: numbers of callers. */
export type LoadResult = {
	readonly asked: number;
	/** First event and every pause within the promised times, from the first try on. */
	readonly onTime: number;
	/** Served whole, but not on time. */
	readonly late: number;
	/** Refused twice: a caller returns once. */
	readonly refused: number;
	/** Worth by that of all on time, 0 to 1. */
	readonly worth: number;
};
