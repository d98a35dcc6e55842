/** One try of a caller for a stream, in the model. */
export type ModelStream = {
	/** When the caller first asked, milliseconds. */
	readonly askedAt: number;
	/** Whether it was refused before. */
	readonly isReturn: boolean;
	readonly promptTokens: number;
	readonly events: number;
	isRead: boolean;
	/** When each event was made, milliseconds. */
	readonly eventTimes: number[];
};
