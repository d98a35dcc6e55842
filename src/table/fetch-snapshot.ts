import {err, ok, type Result} from 'neverthrow';
import {type KeyValue} from '../key-value/key-value.js';
import {TableError} from './table-error.js';
import {TableHead} from './table-head.js';
import {tableKeys} from './table-keys.js';
import {type TablePage} from './table-page.js';
import {TableSnapshot} from './table-snapshot.js';

/**
 * Reads the pages that a head lists from the platform and builds the snapshot.
 *
 * @param headText - the head as stored
 * @param knownPages - pages that the caller already has, which are not read again
 */
export async function fetchSnapshot(keyValue: KeyValue, headText: string, knownPages: ReadonlyMap<string, TablePage>): Promise<Result<TableSnapshot, TableError>> {
	const head = TableHead.safeParse(JSON.parse(headText));
	if (!head.success) {
		return err(new TableError('damaged', `the stored table head is malformed: ${head.error.message}`));
	}

	const pages = new Map<string, TablePage>();
	for (const hash of head.data.pages) {
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
			return err(new TableError('damaged', `page ${hash} of version ${head.data.version} is missing`));
		}

		pages.set(hash, {hash, text: answer.value.value});
	}

	return ok(new TableSnapshot(head.data, pages));
}
