import {type Outcome} from './outcome.js';

type ProblemOptions = {
	readonly status: number;
	readonly title: string;
	readonly detail: string;
	readonly outcome: Outcome;
	/** When to retry, milliseconds from now. */
	readonly retryAfterMs?: number;
	/** Whether a request with the same idempotency key ran or is running: no (`unused`), yes (`used`) or not known. */
	readonly keyState?: 'unused' | 'used' | 'unknown';
};

/** Why a request gets no answer, as sent to the caller in problem details (RFC 9457). */
export class Problem extends Error {
	override readonly name = 'Problem';

	constructor(readonly options: ProblemOptions) {
		super(options.detail);
	}
}
