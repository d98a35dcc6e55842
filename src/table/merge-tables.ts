import {isDeepStrictEqual} from 'node:util';
import {err, ok, type Result} from 'neverthrow';
import {diffTables} from './diff-tables.js';
import {getRowKey} from './get-row-key.js';
import {type Row} from './row.js';
import {type TableConflict} from './table-conflict.js';

/**
 * Merges an edited table into the current one, row by row (three-way merge).
 *
 * @param base - the table that the edit is based on
 * @param mine - the edited table
 * @param theirs - the current table
 * @returns the merged rows, or the conflicts: rows that both sides changed to different values
 */
export function mergeTables(base: readonly Row[], mine: readonly Row[], theirs: readonly Row[]): Result<Row[], TableConflict[]> {
	const merged = new Map(theirs.map(row => [getRowKey(row), row]));
	const theirChanges = new Map(diffTables(base, theirs).map(change => [change.key, change]));
	const conflicts: TableConflict[] = [];
	for (const {key, after} of diffTables(base, mine)) {
		const theirChange = theirChanges.get(key);
		if (theirChange && !isDeepStrictEqual(theirChange.after, after)) {
			conflicts.push({key, mine: after, theirs: theirChange.after});
		} else if (after) {
			merged.set(key, after);
		} else {
			merged.delete(key);
		}
	}

	return conflicts.length > 0 ? err(conflicts) : ok([...merged.values()]);
}
