/** What a whole system in one process consists of. */
export type SystemOptions = {
	readonly zones: readonly string[];
	readonly entriesPerZone: number;
	/** Ranks of the model service `stone-drafts`, dealt to the zones in turn. */
	readonly ranks: number;
	/** Workers of the plain service `yard-dispatch`, dealt to the zones in turn. */
	readonly workers: number;
	/** Rows of the table as CSV. */
	readonly table: string;
	readonly clock: () => number;
	readonly random: () => number;
	/** HTTP port of the first entry; the others follow. 0: any free ports. */
	readonly firstHttpPort?: number;
	/** Whether a model's answer waits for a step of the group for each token. */
	readonly isPaced?: boolean;
	/** Settings of entries and targets that differ from the defaults. */
	readonly entrySettings?: Readonly<Record<string, unknown>>;
	readonly targetSettings?: Readonly<Record<string, unknown>>;
};
