/** Metadata of a change of the table. */
export type TableChange = {
	/** Unique ID of the change, by which its outcome can be looked up if the answer was lost. */
	readonly changeId: string;
	/** User name of the operator. */
	readonly operator: string;
	/** Current time, milliseconds since the epoch. */
	readonly now: number;
	/** Highest version known to be in force at a process; the change is refused if the platform holds an older one. */
	readonly knownVersion: number;
};
