/** Whether a request with suspected parts in its prompt may be sent: freely, as the only one with these parts, or not for some time (milliseconds). */
export type PartVerdict
	= | {readonly kind: 'sound'}
		| {readonly kind: 'trial'; readonly parts: readonly string[]}
		| {readonly kind: 'tried-elsewhere'; readonly part: string; readonly waitMs: number}
		| {readonly kind: 'blocked'; readonly part: string; readonly waitMs: number};
