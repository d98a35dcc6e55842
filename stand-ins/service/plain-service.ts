/** A running stand-in of a plain service; it counts runs by request id and can hold its answers. */
export type PlainService = {
	readonly url: string;
	readonly runs: Map<string, number>;
	/** Total requests that began. */
	totalRequests: number;
	/** While set, requests run but their answers wait for `release`. */
	isHoldingAnswers: boolean;
	releaseAnswers(): void;
	close(): Promise<void>;
};
