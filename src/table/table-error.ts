import {type TableConflict} from './table-conflict.js';

/** Failure of reading or changing the table, or an unknown outcome of a change. */
export class TableError extends Error {
	override readonly name = 'TableError';

	/**
	 * @param kind - `conflict`, `stale` and `damaged`: the table was not changed; `unavailable`: not changed, as the platform could not be reached; `unknown`: the change may have been accepted
	 * @param message - what happened
	 * @param conflicts - the conflicting rows, for `conflict`
	 */
	constructor(
		readonly kind: 'conflict' | 'unavailable' | 'unknown' | 'damaged' | 'stale',
		message: string,
		readonly conflicts: readonly TableConflict[] = [],
	) {
		super(message);
	}
}
