import {type Outcome} from './outcome.js';

type ProblemOptions = {
	readonly status: number;
	readonly title: string;
	readonly detail: string;
	readonly outcome: Outcome;
	/** When to come back, milliseconds from now. */
	readonly retryAfterMs?: number;
	/** What is known of the idempotency key: no request with it ran, one runs or ran, or that is not known. */
	readonly keyState?: 'unused' | 'used' | 'unknown';
};

/** Why a request gets no answer, as the caller is told (RFC 9457). */
export class Problem extends Error {
	override readonly name = 'Problem';

	constructor(readonly options: ProblemOptions) {
		super(options.detail);
	}
}
