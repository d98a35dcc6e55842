import {err, ok, type Result} from 'neverthrow';
import {type KeyValue} from '../key-value/key-value.js';
import {makeHead} from './make-head.js';
import {type Row} from './row.js';
import {type TableChange} from './table-change.js';
import {TableError} from './table-error.js';
import {type TableHead} from './table-head.js';
import {tableKeys} from './table-keys.js';
import {writePages} from './write-pages.js';

type TableInForce = {readonly head: TableHead; readonly rows: readonly Row[]};

/**
 * Writes the table in force at an entry back to a platform that was restored from an older backup. It is written as the
 * version after the one in force, so that every process accepts it and none goes back to an older version.
 *
 * @returns the version written
 */
export async function restoreTable(keyValue: KeyValue, inForce: TableInForce, change: TableChange): Promise<Result<number, TableError>> {
	const stored = await keyValue.get(tableKeys.head);
	if (stored.isErr()) {
		return err(new TableError('unavailable', stored.error.message));
	}

	const pages = await writePages(keyValue, inForce.rows);
	if (pages.isErr()) {
		return err(pages.error);
	}

	const head = makeHead(inForce.head, pages.value, change);
	const text = JSON.stringify(head);
	const answer = await keyValue.commit({
		conditions: [{key: tableKeys.head, revision: stored.value?.revision ?? 0}],
		puts: [{key: tableKeys.head, value: text}, {key: tableKeys.history(head.version), value: text}],
	});
	if (answer.isErr()) {
		return err(new TableError(answer.error.written === 'no' ? 'unavailable' : 'unknown', answer.error.message));
	}

	return answer.value === undefined
		? err(new TableError('stale', 'the table was changed at the same time; read it again before another attempt'))
		: ok(head.version);
}
