import {randomUUID} from 'node:crypto';
import {userInfo} from 'node:os';
import {Command} from 'clipanion';
import {z} from 'zod';
import {readClock} from '../../config/read-clock.js';
import {fetchTable} from '../../table/fetch-table.js';
import {restoreTable} from '../../table/restore-table.js';
import {Row} from '../../table/row.js';
import {TableHead} from '../../table/table-head.js';
import {exitCode} from '../exit-code.js';
import {OperatorCommand} from '../operator-command.js';

const tableInForce = z.object({head: TableHead, rows: z.array(Row)});

/** `table restore`: writes the table in force at the entries back to a platform that was restored from an older backup. */
export class TableRestore extends OperatorCommand {
	static override paths = [['table', 'restore']];
	static override usage = Command.Usage({description: 'write the table in force at the entries back to a platform that lost newer changes'});

	async execute(): Promise<number> {
		const newest = await this.fetchNewestTable();
		const stored = await fetchTable(this.openKeyValue());
		if (!newest || stored.isErr()) {
			this.printErrors([stored.isErr() ? stored.error.message : 'no reachable entry has a table']);
			return exitCode.unavailable;
		}

		const version = stored.value.snapshot?.version ?? 0;
		if (version >= newest.head.version) {
			this.printErrors([`nothing to restore: the platform holds version ${version}, the entries ${newest.head.version}`]);
			return exitCode.refused;
		}

		const restored = await restoreTable(this.openKeyValue(), newest, {
			changeId: randomUUID(), operator: userInfo().username, now: readClock(), knownVersion: newest.head.version,
		});
		if (restored.isErr()) {
			this.printErrors([restored.error.message]);
			return restored.error.kind === 'unknown' ? exitCode.unknown : exitCode.refused;
		}

		this.print({outcome: 'restored', version: restored.value}, [`restored as version ${restored.value}, from version ${newest.head.version} in force`]);
		return exitCode.ok;
	}

	private async fetchNewestTable(): Promise<z.infer<typeof tableInForce> | undefined> {
		const entries = await this.findEntryUrls();
		const pages = await Promise.all(entries.map(async entry => tableInForce.safeParse(await this.fetchAdminPage(entry, 'table'))));
		return pages
			.flatMap(({data}) => data ? [data] : [])
			.toSorted((one, other) => other.head.version - one.head.version)
			.at(0);
	}
}
