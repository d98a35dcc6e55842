import {err, ok, type Result} from 'neverthrow';
import {type KeyValue} from '../key-value/key-value.js';
import {type Transaction} from '../key-value/transaction.js';
import {encodePages} from './encode-pages.js';
import {type Row} from './row.js';
import {TableError} from './table-error.js';
import {tableKeys} from './table-keys.js';
import {type TablePage} from './table-page.js';

const maximumAttempts = 5;
/** Pages written in one transaction; at 64 KB each it stays under the service's megabyte. */
const pagesPerTransaction = 8;

/* Pages alone change nothing, since no head names them yet; so a lost answer is met by writing again. */
const commitWithRetries = async (keyValue: KeyValue, puts: Transaction['puts']): Promise<Result<void, TableError>> => {
	let message = '';
	for (let attempt = 0; attempt < maximumAttempts; attempt++) {
		const answer = await keyValue.commit({conditions: [], puts});
		if (answer.isOk()) {
			return ok();
		}

		({message} = answer.error);
		if (answer.error.written === 'no') {
			break;
		}
	}

	return err(new TableError('unavailable', message));
};

/**
 * Writes the pages of a table that are not stored yet.
 *
 * @param knownPages - pages that the platform has
 * @returns the hashes of all pages, for the head
 */
export async function writePages(keyValue: KeyValue, rows: readonly Row[], knownPages: ReadonlyMap<string, TablePage> = new Map()): Promise<Result<string[], TableError>> {
	const pages = encodePages(rows);
	const missing = pages.filter(({hash}) => !knownPages.has(hash));
	for (let start = 0; start < missing.length; start += pagesPerTransaction) {
		const puts = missing.slice(start, start + pagesPerTransaction).map(({hash, text}) => ({key: tableKeys.page(hash), value: text}));
		const answer = await commitWithRetries(keyValue, puts);
		if (answer.isErr()) {
			return err(answer.error);
		}
	}

	return ok(pages.map(({hash}) => hash));
}
