import {err, ok, type Result} from 'neverthrow';
import {type KeyValue} from '../key-value/key-value.js';
import {type Transaction} from '../key-value/transaction.js';
import {encodePages} from './encode-pages.js';
import {type Row} from './row.js';
import {TableError} from './table-error.js';
import {tableKeys} from './table-keys.js';
import {type TablePage} from './table-page.js';

/** Attempts of one transaction while its outcome is unknown. */
const maximumAttempts = 5;
/** Pages per transaction; at about 64 KB each, it stays below the limit of 1 MB of the key-value service. */
const pagesPerTransaction = 8;

/* Pages have no effect until a head lists them, so a write whose answer was lost can be repeated. */
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
 * Writes those pages of a table that the platform does not have yet.
 *
 * @param knownPages - pages that the platform already has
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
