/** How one attempt at one target ended; see `followCall`. */
export type AttemptResult
	= | {readonly kind: 'answered'; readonly isComplete: boolean}
	/** The target did not run the request, and never will. `retryAfterMs` is the target's estimate, milliseconds; 0: none. */
		| {readonly kind: 'not-run'; readonly reason: string; readonly retryAfterMs: number}
	/** The request may have run; no part of an answer has reached the caller. */
		| {readonly kind: 'lost'; readonly reason: string};
