/** A running stand-in of a plain service. `runs` counts executions by request id; answers can be held back. */
export type PlainService = {
	readonly url: string;
	readonly runs: Map<string, number>;
	/** Number of started requests. */
	totalRequests: number;
	/** While set, requests run but their answers wait for `releaseAnswers`. */
	isHoldingAnswers: boolean;
	releaseAnswers(): void;
	close(): Promise<void>;
};
