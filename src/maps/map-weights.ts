/** Weights of a lower skew and of fewer copies in the planning of a group's map. Only their ratio matters. */
export type MapWeights = {
	readonly skew: number;
	readonly move: number;
};
