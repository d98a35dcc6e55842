/** What a routing decision knows of a request. */
export type RoutingRequest = {
	/** Hash of the prompt's beginning; undefined when nothing is gained by going where it went before. */
	readonly prefixHash: number | undefined;
	/** A number from 0 (included) to 1, drawn anew at each call. */
	readonly random: () => number;
};
