/** Outcome of a simulated scenario, in numbers of callers. `wardswitch lab --json` prints it as it stands. */
export type LoadResult = {
	/** Callers that requested a stream. */
	readonly asked: number;
	/** Admitted at the first attempt, with the first event and every later gap within the target times. */
	readonly onTime: number;
	/** Served completely, but not on time. */
	readonly late: number;
	/** Refused twice; a caller retries once. */
	readonly refused: number;
	/** Value of the answers relative to all callers being served on time, 0 to 1; a late answer counts `lateWorth`. */
	readonly worth: number;
};
