/** Keys of a group of ranks in the key-value service. */
export const groupKeys = {
	/** The planner's latest proposal; the key's revision is the proposal's fencing number. */
	plan: (group: string): string => `wardswitch/groups/${group}/plan`,
	/** The last map that the group is known to have used. */
	mapInUse: (group: string): string => `wardswitch/groups/${group}/map`,
	/** Held under a lease by the entry that plans for the group. */
	planner: (group: string): string => `wardswitch/groups/${group}/planner`,
} as const;
