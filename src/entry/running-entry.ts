import {type TableSnapshot} from '../table/table-snapshot.js';

/** An entry process that has started. */
export type RunningEntry = {
	readonly httpPort: number;
	readonly linkPort: number;
	readonly adminPort: number;
	/** The table in force here. */
	readonly getTable: () => TableSnapshot | undefined;
	readonly isReady: () => boolean;
	/** Document of `/status`. */
	readonly getStatus: () => unknown;
	/** Cuts every link to targets; they connect again. */
	disconnectTargets(): void;
	/** Planned stop: takes no new callers, lets open requests end, then closes. */
	stop(): Promise<void>;
	/** Ends at once, as a crash would. */
	kill(): Promise<void>;
};
