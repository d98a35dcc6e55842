/** What a group's owner holds for worth: a lower skew, and fewer copies moved. Only their ratio counts. */
export type MapWeights = {
	readonly skew: number;
	readonly move: number;
};
