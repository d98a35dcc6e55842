/** Who changes the table, under which name. */
export type TableChange = {
	/** Names the change, so that a lost answer can be settled. */
	readonly changeId: string;
	readonly operator: string;
	/** The present, milliseconds since the epoch. */
	readonly now: number;
	/** Highest version that any process was seen to have in force; an older platform is not written to. */
	readonly knownVersion: number;
};
