/** What the queue decided on a request; `retryAfterMs` is the estimated wait, milliseconds. */
export type AdmissionVerdict
	= | {readonly kind: 'start'}
		| {readonly kind: 'wait'}
		| {readonly kind: 'refuse'; readonly reason: 'busy' | 'full' | 'late'; readonly retryAfterMs: number};
