/** How one attempt at one target ended. */
export type AttemptResult
	= | {readonly kind: 'answered'; readonly isComplete: boolean}
	/** Proved: the target did not run it and will not. */
		| {readonly kind: 'not-run'; readonly reason: string; readonly retryAfterMs: number}
	/** It may have run, and nothing of an answer has reached the caller. */
		| {readonly kind: 'lost'; readonly reason: string};
