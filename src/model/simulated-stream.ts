/** One attempt of a caller to get a stream, in the load simulation. */
export type SimulatedStream = {
	/** Time of the caller's first attempt, milliseconds. */
	readonly firstAttemptAt: number;
	/** Whether the first attempt was refused and this is the second. */
	readonly isRetry: boolean;
	readonly promptTokens: number;
	/** Events after which the stream is complete. */
	readonly eventCount: number;
	/** Whether the prompt has been processed. */
	isPrefilled: boolean;
	/** Time of each event so far, milliseconds. */
	readonly eventTimes: number[];
};
