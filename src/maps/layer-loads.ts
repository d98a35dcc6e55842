/** Tokens routed to each expert in one interval: `loads[layer][expert]`. */
export type LayerLoads = ReadonlyArray<readonly number[]>;
