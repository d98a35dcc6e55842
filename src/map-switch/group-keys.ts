/** Keys of a group of ranks in the key-value service. */
export const groupKeys = {
	/** The proposal of the planner; the key's revision is its fencing number. */
	plan: (group: string): string => `wardswitch/groups/${group}/plan`,
	/** The map that the group was last known to use. */
	mapInUse: (group: string): string => `wardswitch/groups/${group}/map`,
	/** Held under a lease by the entry that plans for the group. */
	planner: (group: string): string => `wardswitch/groups/${group}/planner`,
} as const;
