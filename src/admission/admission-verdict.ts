/** What becomes of an offered request. */
export type AdmissionVerdict
	= | {readonly kind: 'start'}
		| {readonly kind: 'wait'}
		| {readonly kind: 'refuse'; readonly reason: 'busy' | 'full' | 'late'; readonly retryAfterMs: number};
