import {type makeEntryState} from '../../src/forward/make-entry-state.js';
import {type makeForwardPipeline} from '../../src/forward/make-forward-pipeline.js';

/** An entry of a crowd that follows one store, and what was seen at it. */
export type StoreEntry = {
	readonly id: string;
	readonly address: string;
	readonly startedAt: number;
	readonly path: ReturnType<typeof makeForwardPipeline>;
	readonly state: ReturnType<typeof makeEntryState>;
	/** Versions that have served callers here, the last at the end. */
	readonly servedVersions: Set<number>;
	version: number;
	/** Targets that were seen not to be used any more since they have left, and those that have left and were used. */
	readonly dropped: Set<string>;
	readonly usedAfterLeave: Set<string>;
	/** Targets that were used at the last look. */
	used: ReadonlySet<string>;
};
