import {err, ok, type Result} from 'neverthrow';
import {type KeyValue} from '../key-value/key-value.js';
import {fetchSnapshot} from './fetch-snapshot.js';
import {type StoredTable} from './stored-table.js';
import {TableError} from './table-error.js';
import {tableKeys} from './table-keys.js';
import {type TablePage} from './table-page.js';

/**
 * Reads the current table from the platform.
 *
 * @param knownPages - pages that the caller already has, which are not read again
 */
export async function fetchTable(keyValue: KeyValue, knownPages: ReadonlyMap<string, TablePage> = new Map()): Promise<Result<StoredTable, TableError>> {
	const head = await keyValue.get(tableKeys.head);
	if (head.isErr()) {
		return err(new TableError('unavailable', head.error.message));
	}

	if (!head.value) {
		return ok({revision: 0, snapshot: undefined});
	}

	const {revision, value} = head.value;
	const snapshot = await fetchSnapshot(keyValue, value, knownPages);
	return snapshot.map(table => ({revision, snapshot: table}));
}
