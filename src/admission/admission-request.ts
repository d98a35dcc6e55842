/** A request as the admission queue sees it. Times are in milliseconds. */
export type AdmissionRequest = {
	readonly id: string;
	readonly organisation: string;
	/** Share of the target's capacity relative to other organisations. */
	readonly weight: number;
	/** RFC 9218 urgency: 0 is the most urgent, 7 the least. */
	readonly urgency: number;
	readonly arrivedAt: number;
	/** Time after which the request is not started any more. */
	readonly deadline: number;
	/** Whether it may be queued; otherwise it starts at once or is refused. */
	readonly mayWait: boolean;
};
