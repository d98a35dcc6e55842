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

/** Attempts to swap the head, as other changes or failures may come first. */
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
		return err(new TableError('stale', `version ${basedOn} is no longer in the history; export the table again and repeat the edit`));
	}

	const base = await fetchSnapshot(keyValue, head.value.value, stored.snapshot.pages);
	return base.map(({rows}) => rows);
};

const findAcceptedVersion = (stored: StoredTable, changeId: string): number | undefined =>
	stored.snapshot?.head.recent.find(recent => recent.changeId === changeId)?.version;

/**
 * Applies an edited table: merges it with the stored one and replaces the head by compare-and-swap.
 *
 * If the answer to a write is lost, the head is read again to find out whether the write took effect. Retries are safe:
 * each attempt looks for the change ID among the recent changes first and swaps the head only at the revision just read,
 * so at most one takes effect.
 *
 * @returns the version that contains the change
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

	return err(new TableError(mayBeWritten ? 'unknown' : 'unavailable', 'gave up after repeated attempts; each was overtaken by another change or failed'));
}

/* Returns the new version, or undefined if another change replaced the head first. */
async function swapHead(keyValue: KeyValue, edited: ParsedTable, stored: StoredTable, change: TableChange): Promise<Result<number | undefined, TableError>> {
	const base = await fetchBaseRows(keyValue, edited.basedOn, stored);
	if (base.isErr()) {
		return err(base.error);
	}

	const merged = mergeTables(base.value, edited.rows, stored.snapshot?.rows ?? []);
	if (merged.isErr()) {
		return err(new TableError('conflict', 'rows were changed by another operator since the export', merged.error));
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
