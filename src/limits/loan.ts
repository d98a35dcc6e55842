/** What a lender gives: units now, and when to come back for more (milliseconds from now). */
export type Loan = {
	readonly amount: number;
	readonly retryAfterMs: number;
};
