/** Tokens that each expert had in one interval: `loads[layer][expert]`. */
export type LayerLoads = ReadonlyArray<readonly number[]>;
