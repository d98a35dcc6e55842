import {type makeEntryState} from '../../src/forward/make-entry-state.js';
import {type makeForwardPipeline} from '../../src/forward/make-forward-pipeline.js';

/** An entry of the store simulation, with what was observed at it. */
export type SimulatedEntry = {
	readonly id: string;
	readonly address: string;
	readonly startedAt: number;
	readonly path: ReturnType<typeof makeForwardPipeline>;
	readonly state: ReturnType<typeof makeEntryState>;
	/** Versions of the configuration with which it has served, in order. */
	readonly servedVersions: Set<number>;
	version: number;
	/** Targets no longer used after they left, and targets that were used after they left. */
	readonly dropped: Set<string>;
	readonly usedAfterLeave: Set<string>;
	/** Targets in use at the last check. */
	used: ReadonlySet<string>;
};
