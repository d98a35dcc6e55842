/** Which experts each rank holds: `map[layer][rank]` lists expert ids, one per slot. */
export type ExpertMap = ReadonlyArray<ReadonlyArray<readonly number[]>>;
