import {type KeyValueStore} from './key-value-store.js';

/** Faults that a scenario can inject into the key-value stand-in. */
type Faults = {
	/** The connection of every call is closed. */
	isDown: boolean;
	/** Delay before each answer, milliseconds. */
	delayMs: number;
	/** Number of coming writes that take effect but whose answer is lost. */
	lostAnswers: number;
	/** While set, watches deliver no events. */
	isWatchSilent: boolean;
};

/** A running stand-in of the platform's key-value service. */
export type KeyValueService = {
	readonly url: string;
	readonly store: KeyValueStore;
	readonly faults: Faults;
	/** Number of calls by path. */
	readonly calls: Map<string, number>;
	/** Closes the connections of all watches. */
	breakWatches(): void;
	close(): Promise<void>;
};
