import {err, type Result} from 'neverthrow';
import {type KeyValue} from '../key-value/key-value.js';
import {makeSnapshot} from './make-snapshot.js';
import {parseHead} from './parse-head.js';
import {TableError} from './table-error.js';
import {tableKeys} from './table-keys.js';
import {type TablePage} from './table-page.js';
import {type TableSnapshot} from './table-snapshot.js';

/**
 * Reads the pages that a head lists from the platform and builds the snapshot.
 *
 * @param headText - the head as stored
 * @param knownPages - pages that the caller already has, which are not read again
 */
export async function fetchSnapshot(keyValue: KeyValue, headText: string, knownPages: ReadonlyMap<string, TablePage>): Promise<Result<TableSnapshot, TableError>> {
	const head = parseHead(headText);
	if (head.isErr()) {
		return err(head.error);
	}

	const pages = new Map<string, TablePage>();
	for (const hash of head.value.pages) {
		const page = knownPages.get(hash);
		if (page) {
			pages.set(hash, page);
			continue;
		}

		const answer = await keyValue.get(tableKeys.page(hash));
		if (answer.isErr()) {
			return err(new TableError('unavailable', answer.error.message));
		}

		if (!answer.value) {
			return err(new TableError('damaged', `page ${hash} of version ${head.value.version} is missing`));
		}

		pages.set(hash, {hash, text: answer.value.value});
	}

	return makeSnapshot(head.value, pages);
}
