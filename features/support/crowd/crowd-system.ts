import {type LimitedProcess} from './limited-process.js';

/** A small deployment whose processes a crowd of callers is let loose on. */
export type CrowdSystem = {
	/** The process that callers connect to. */
	readonly entry: LimitedProcess;
	/** All processes of the system. */
	readonly processes: readonly LimitedProcess[];
	/** Ports by listener: `callers`, and the others that can be reached from outside. */
	readonly ports: Readonly<Record<string, number>>;
	/** Port of the readiness probe `/readyz`. */
	readonly readyPort: number;
	/** Largest body that the entry accepts, bytes. */
	readonly bodyBytes: number;
	/** Path of requests that the target answers at once; below it, `hold` waits, and `large` has an answer of 8 MB. */
	readonly path: string;
	/** Headers that a request needs, each with its line end. */
	readonly makeHeaders: () => string;
	/** Resolves when a request waits at the target. */
	readonly untilHeld: () => Promise<void>;
	/** Lets the target answer the requests that wait. */
	readonly release: () => void;
};
