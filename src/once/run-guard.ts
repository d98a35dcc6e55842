import {type Result} from 'neverthrow';
import {type TargetLink} from '../calls/target-link.js';
import {type Problem} from '../requests/problem.js';
import {type RunPermit} from './run-permit.js';

/** Prevents a request from running more often than allowed. */
export type RunGuard = {
	/** Whether the request may be sent to another target after one may have run it. */
	readonly isRepeatable: boolean;
	/** The only target that may run it, if that is fixed in advance. */
	readonly target: string | undefined;
	/** Requests a permit to run at a target; called again for each further target. */
	admit(link: TargetLink): Promise<Result<RunPermit, Problem>>;
	/** Lets the next `admit` take over the key: the target of a `join` proved that the first request did not run there and never will. */
	takeOver(): void;
	/** Records that the target refused this request as owner of the key; the next `admit` checks the key again. */
	noteOwnershipRefused(): void;
	/** Gives up without having run; returns the state of the key, undefined if there is no key. */
	abandon(): Promise<'unused' | 'used' | 'unknown' | undefined>;
};
