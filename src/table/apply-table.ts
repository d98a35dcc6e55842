import {err, ok, type Result} from 'neverthrow';
import {type KeyValue} from '../key-value/key-value.js';
import {fetchTable} from './fetch-table.js';
import {makeHead} from './make-head.js';
import {mergeTables} from './merge-tables.js';
import {type ParsedTable} from './parsed-table.js';
import {fetchSnapshot} from './fetch-snapshot.js';
import {type Row} from './row.js';
import {type StoredTable} from './stored-table.js';
import {type TableChange} from './table-change.js';
import {TableError} from './table-error.js';
import {tableKeys} from './table-keys.js';
import {writePages} from './write-pages.js';

const maximumAttempts = 5;

const fetchBaseRows = async (keyValue: KeyValue, basedOn: number, stored: StoredTable): Promise<Result<Row[], TableError>> => {
	if (basedOn === 0 || !stored.snapshot) {
		return ok([]);
	}

	if (basedOn === stored.snapshot.version) {
		return ok(stored.snapshot.rows);
	}

	const head = await keyValue.get(tableKeys.history(basedOn));
	if (head.isErr()) {
		return err(new TableError('unavailable', head.error.message));
	}

	if (!head.value) {
		return err(new TableError('stale', `version ${basedOn} is no longer kept; export the table again and repeat the edit`));
	}

	const base = await fetchSnapshot(keyValue, head.value.value, stored.snapshot.pages);
	return base.map(({rows}) => rows);
};

const findAcceptedVersion = (stored: StoredTable, changeId: string): number | undefined =>
	stored.snapshot?.head.recent.find(recent => recent.changeId === changeId)?.version;

/**
 * Applies an edited table: merges it with the present one and swaps the head, once.
 *
 * A write whose answer was lost is settled by reading the head back. Trying again is safe, since every try swaps
 * the same head revision and names the same change: at most one takes effect.
 *
 * @returns the version in which the change is in force
 */
export async function applyTable(keyValue: KeyValue, edited: ParsedTable, change: TableChange): Promise<Result<number, TableError>> {
	let mayBeWritten = false;
	for (let attempt = 0; attempt < maximumAttempts; attempt++) {
		const stored = await fetchTable(keyValue);
		if (stored.isErr()) {
			if (mayBeWritten && attempt < maximumAttempts - 1) {
				continue;
			}

			return err(mayBeWritten ? new TableError('unknown', stored.error.message) : stored.error);
		}

		const accepted = findAcceptedVersion(stored.value, change.changeId);
		if (accepted !== undefined) {
			return ok(accepted);
		}

		const version = stored.value.snapshot?.version ?? 0;
		if (version < change.knownVersion) {
			return err(new TableError('stale', `the platform holds version ${version}, but version ${change.knownVersion} is in force; see "table restore"`));
		}

		const result = await swapHead(keyValue, edited, stored.value, change);
		if (result.isErr() && (result.error.kind === 'unknown' || (mayBeWritten && result.error.kind === 'unavailable'))) {
			mayBeWritten = true;
		} else if (result.isErr() || result.value !== undefined) {
			return result as Result<number, TableError>;
		}
	}

	return err(new TableError(mayBeWritten ? 'unknown' : 'unavailable', 'gave up; other changes or failures came first each time'));
}

/* Gives the new version, or undefined when another change came first. */
async function swapHead(keyValue: KeyValue, edited: ParsedTable, stored: StoredTable, change: TableChange): Promise<Result<number | undefined, TableError>> {
	const base = await fetchBaseRows(keyValue, edited.basedOn, stored);
	if (base.isErr()) {
		return err(base.error);
	}

	const merged = mergeTables(base.value, edited.rows, stored.snapshot?.rows ?? []);
	if (merged.isErr()) {
		return err(new TableError('conflict', 'rows were changed by someone else since the export', merged.error));
	}

	const pages = await writePages(keyValue, merged.value, stored.snapshot?.pages);
	if (pages.isErr()) {
		return err(pages.error);
	}

	const head = makeHead(stored.snapshot?.head, pages.value, change);
	const text = JSON.stringify(head);
	const answer = await keyValue.commit({
		conditions: [{key: tableKeys.head, revision: stored.revision}],
		puts: [{key: tableKeys.head, value: text}, {key: tableKeys.history(head.version), value: text}],
	});
	if (answer.isErr()) {
		return err(new TableError(answer.error.written === 'no' ? 'unavailable' : 'unknown', answer.error.message));
	}

	return ok(answer.value === undefined ? undefined : head.version);
}
