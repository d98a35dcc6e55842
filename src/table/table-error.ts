import {type TableConflict} from './table-conflict.js';

/** Why a change of the table was not accepted, or why that is not known. */
export class TableError extends Error {
	override readonly name = 'TableError';

	/**
	 * @param kind - `conflict` and `stale` changed nothing; `unavailable` changed nothing for want of the platform; `unknown` may have changed the table
	 * @param message - what happened
	 * @param conflicts - the rows that two operators changed, for `conflict`
	 */
	constructor(
		readonly kind: 'conflict' | 'unavailable' | 'unknown' | 'damaged' | 'stale',
		message: string,
		readonly conflicts: readonly TableConflict[] = [],
	) {
		super(message);
	}
}
