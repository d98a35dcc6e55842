/** A lender's answer, sent in the message `lend`: units granted now, and the time until more may be available (milliseconds). */
export type Loan = {
	readonly amount: number;
	readonly retryAfterMs: number;
};
