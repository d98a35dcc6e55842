/** A validation problem in a table file. */
export type TableProblem = {
	/** Line number; the headings are line 1. */
	readonly line: number;
	/** Heading of the column; empty if the problem concerns the whole line. */
	readonly column: string;
	/** The invalid text; empty if there is none. */
	readonly value: string;
	readonly expectation: string;
};
