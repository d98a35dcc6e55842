import {err, ok, type Result} from 'neverthrow';
import {describeItemProblem} from '../key-value/describe-item-problem.js';
import {TableError} from './table-error.js';
import {type TableHead} from './table-head.js';
import {tableKeys} from './table-keys.js';
import {type TablePage} from './table-page.js';
import {TableSnapshot} from './table-snapshot.js';

/** Makes the snapshot of a version from its head and all its pages; an error if a page cannot be read. */
export function makeSnapshot(head: TableHead, pages: ReadonlyMap<string, TablePage>): Result<TableSnapshot, TableError> {
	try {
		return ok(new TableSnapshot(head, pages));
	} catch (error) {
		return err(new TableError('damaged', describeItemProblem(`pages of ${tableKeys.head} version ${head.version}`, error)));
	}
}
