import {type Target} from '../fleet/target.js';

/** A request whose connection closed before its answer was complete. */
export type LostRequest = {
	/** Id of the caller's request, for the log; undefined when it sent none. */
	readonly id: string | undefined;
	readonly fingerprint: string;
	/** The parts of its prompt that other requests may share. */
	readonly promptParts: readonly string[];
	/** Those of them that it was sent for trial of. */
	readonly triedParts: readonly string[];
	/** Whether it was sent after an earlier crash was known in which the same request was lost. */
	readonly isRepeated: boolean;
	/** The target incarnation it was sent to: a restart under the same id gives a new one. */
	readonly incarnation: Pick<Target, 'id' | 'bornAt'>;
	/** Time since the target began to answer, milliseconds; undefined when it had not begun. */
	readonly answeringMs: number | undefined;
};
