import {isDeepStrictEqual} from 'node:util';
import {getRowKey} from './get-row-key.js';
import {type Row} from './row.js';
import {type TableDifference} from './table-difference.js';

/** Lists the rows that were added, changed or removed between two tables, by key. */
export function diffTables(before: readonly Row[], after: readonly Row[]): TableDifference[] {
	const unmatched = new Map(before.map(row => [getRowKey(row), row]));
	const differences: TableDifference[] = [];
	for (const row of after) {
		const key = getRowKey(row);
		const earlier = unmatched.get(key);
		unmatched.delete(key);
		if (!isDeepStrictEqual(earlier, row)) {
			differences.push({key, before: earlier, after: row});
		}
	}

	for (const [key, row] of unmatched) {
		differences.push({key, before: row, after: undefined});
	}

	return differences;
}
