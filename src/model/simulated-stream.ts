/** One try of a caller for a stream, in the model. */
export type SimulatedStream = {
	/** When the caller first asked, milliseconds. */
	readonly firstAttemptAt: number;
	/** Whether it was refused before. */
	readonly isRetry: boolean;
	readonly promptTokens: number;
	readonly eventCount: number;
	isPrefilled: boolean;
	/** When each event was made, milliseconds. */
	readonly eventTimes: number[];
};
