/** Which experts each rank holds: `map[layer][rank]` lists expert ids, one a slot. */
export type ExpertMap = ReadonlyArray<ReadonlyArray<readonly number[]>>;
