/** A running stand-in engine; `runs` counts the started attempts of each request, by x-request-id. */
export type Engine = {
	readonly url: string;
	readonly port: number;
	readonly runs: Map<string, number>;
	readonly active: Set<string>;
	/** Started requests; each attempt counts. */
	totalRequests: number;
	/** While set, the connection of every request is closed before the answer begins. */
	isDroppingConnections: boolean;
	close(): Promise<void>;
};
