/** A change of one layer: copies placed in slots, replacing the slots' current experts. */
export type LayerChange = {
	readonly placements: ReadonlyArray<{readonly rank: number; readonly slot: number; readonly expert: number}>;
	/** Reduction of the smoothed peak, tokens. */
	readonly gain: number;
};
