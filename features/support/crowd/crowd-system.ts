import {type CrowdAim} from '../../../stand-ins/callers/crowd-aim.js';
import {type LimitedProcess} from './limited-process.js';

/** A small deployment whose processes a crowd of callers is let loose on. */
export type CrowdSystem = CrowdAim & {
	/** The process that callers connect to. */
	readonly entry: LimitedProcess;
	/** All processes of the system. */
	readonly processes: readonly LimitedProcess[];
	/** Ports by listener: `callers`, and the others that can be reached from outside. */
	readonly ports: Readonly<Record<string, number>>;
	/** Port of the readiness probe `/readyz`. */
	readonly readyPort: number;
	/** Resolves when a request waits at the target. */
	readonly untilHeld: () => Promise<void>;
	/** Lets the target answer the requests that wait. */
	readonly release: () => void;
};
