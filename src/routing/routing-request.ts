/** A request as routing decisions see it. */
export type RoutingRequest = {
	/** Hash of the prompt's prefix; undefined when prefix affinity does not apply. */
	readonly prefixHash: number | undefined;
	/** Returns a random number from 0 (included) to 1 (excluded). */
	readonly random: () => number;
};
