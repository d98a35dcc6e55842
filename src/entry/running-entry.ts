import {type TableSnapshot} from '../table/table-snapshot.js';

/** Handle of a started entry process. */
export type RunningEntry = {
	readonly httpPort: number;
	readonly linkPort: number;
	readonly adminPort: number;
	/** Returns the table in force at this entry, if there is one. */
	readonly getTable: () => TableSnapshot | undefined;
	readonly isReady: () => boolean;
	/** Makes the document of `/status`. */
	readonly getStatus: () => unknown;
	/** Closes every connection to targets at once; the links then reconnect. */
	disconnectTargets(): void;
	/** Planned stop: reports not ready, waits `stopDelayMs`, lets open requests end, then closes. */
	stop(): Promise<void>;
	/** Stops at once without draining, as a crash would. */
	kill(): Promise<void>;
};
