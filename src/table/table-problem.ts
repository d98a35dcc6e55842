/** One thing wrong with a table file. */
export type TableProblem = {
	/** Line of the file, from 1; the heading is line 1. */
	readonly line: number;
	readonly column: string;
	readonly value: string;
	readonly expectation: string;
};
