import {type KeyValueStore} from './key-value-store.js';

/** Faults that a scenario can set on the key-value stand-in. */
type Faults = {
	/** Every call is cut. */
	isDown: boolean;
	/** Milliseconds before each answer. */
	delayMs: number;
	/** Writes whose answer is lost after they took effect, still to come. */
	lostAnswers: number;
	/** Watches deliver nothing while set. */
	isWatchSilent: boolean;
};

/** A running key-value stand-in. */
export type KeyValueService = {
	readonly url: string;
	readonly store: KeyValueStore;
	readonly faults: Faults;
	readonly calls: Map<string, number>;
	breakWatches(): void;
	close(): Promise<void>;
};
