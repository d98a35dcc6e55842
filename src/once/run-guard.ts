import {type Result} from 'neverthrow';
import {type TargetLink} from '../calls/target-link.js';
import {type Problem} from '../requests/problem.js';
import {type RunPermit} from './run-permit.js';

/** What keeps a request from running more often than it may. */
export type RunGuard = {
	/** Whether the request may go to a second target after a first may have run it. */
	readonly isRepeatable: boolean;
	/** The one target that may run it, if that is settled beforehand. */
	readonly target: string | undefined;
	/** Asks to run at a target; called again for each further target. */
	admit(link: TargetLink): Promise<Result<RunPermit, Problem>>;
	/** Notes that the target of a `join` proved that the first copy did not run there and never will. */
	takeOver(): void;
	/** Notes that the target no longer takes our word for owning the key; the next `admit` looks again. */
	noteOwnershipRefused(): void;
	/** Gives up without having run; tells what is known of the key then. */
	abandon(): Promise<'unused' | 'used' | 'unknown' | undefined>;
};
