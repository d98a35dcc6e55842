/** Size and settings of a whole system in one process. */
export type SystemOptions = {
	readonly zones: readonly string[];
	readonly entriesPerZone: number;
	/** Number of ranks of the model service `stone-drafts`, assigned to the zones in turn. */
	readonly ranks: number;
	/** Number of workers of the plain service `yard-dispatch`, assigned to the zones in turn. */
	readonly workers: number;
	/** The table as CSV. */
	readonly table: string;
	/** The present time, Unix milliseconds. */
	readonly clock: () => number;
	/** Random numbers in [0, 1). */
	readonly random: () => number;
	/** Random numbers in [0, 1) for the choice of targets; those of `random` if unset. */
	readonly routingRandom?: () => number;
	/** HTTP port of the first entry; the following ports are used for the other entries. 0 for any free ports. */
	readonly firstHttpPort?: number;
	/** Whether each token of a model's answer waits for a step of the group. */
	readonly isPaced?: boolean;
	/** Settings of entries and targets that override the defaults. */
	readonly entrySettings?: Readonly<Record<string, unknown>>;
	readonly targetSettings?: Readonly<Record<string, unknown>>;
};
