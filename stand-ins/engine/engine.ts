/** A running stand-in engine; `runs` counts each request that began, by its x-request-id. */
export type Engine = {
	readonly url: string;
	readonly port: number;
	readonly runs: Map<string, number>;
	readonly active: Set<string>;
	/** Requests that began, attempts counted one by one. */
	totalRequests: number;
	/** While set, every answer is broken off before it begins. */
	isDroppingConnections: boolean;
	close(): Promise<void>;
};
