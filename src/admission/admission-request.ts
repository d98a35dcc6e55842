/** What the admission queue knows of a request. Times are in milliseconds. */
export type AdmissionRequest = {
	readonly id: string;
	readonly organisation: string;
	/** Share of the target relative to other organisations. */
	readonly weight: number;
	/** RFC 9218 urgency: 0 is the most urgent, 7 the least. */
	readonly urgency: number;
	readonly arrivedAt: number;
	/** Moment after which starting the request is of no use. */
	readonly deadline: number;
	/** Whether it may wait; otherwise it starts at once or is refused. */
	readonly mayWait: boolean;
};
