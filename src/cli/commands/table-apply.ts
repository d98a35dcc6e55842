import {randomUUID} from 'node:crypto';
import {userInfo} from 'node:os';
import {setTimeout as delay} from 'node:timers/promises';
import {Command, Option} from 'clipanion';
import {z} from 'zod';
import {readClock} from '../../config/read-clock.js';
import {applyTable} from '../../table/apply-table.js';
import {diffTables} from '../../table/diff-tables.js';
import {fetchTable} from '../../table/fetch-table.js';
import {type ParsedTable} from '../../table/parsed-table.js';
import {type TableError} from '../../table/table-error.js';
import {describeRow} from '../describe-row.js';
import {exitCode} from '../exit-code.js';
import {OperatorCommand} from '../operator-command.js';
import {readTableFile} from '../read-table-file.js';

const entryVersion = z.object({id: z.string(), availabilityZone: z.string(), table: z.object({version: z.number()})});
/** Interval at which `--wait` reads the versions of the entries, milliseconds. */
const pollIntervalMs = 250;
/** Maximum time of `--wait`, milliseconds. */
const maximumWaitMs = 30_000;

/** `table apply FILE`: merges an edited table file into the stored table. */
export class TableApply extends OperatorCommand {
	static override paths = [['table', 'apply']];
	static override usage = Command.Usage({description: 'apply a table file; the outcome is accepted, refused or unknown'});
	file = Option.String();
	isDryRun = Option.Boolean('--dry-run', false, {description: 'show the rows that would change, without applying them'});
	isWaiting = Option.Boolean('--wait', false, {description: 'wait until the change is in force in every availability zone'});
	changeId = Option.String('--change', {description: 'id of the change; to repeat a change with an unknown outcome, give its id again'});

	async execute(): Promise<number> {
		const table = readTableFile(this.file);
		if (table.isErr()) {
			this.printErrors(table.error);
			return exitCode.refused;
		}

		return this.isDryRun ? this.showDifferences(table.value) : this.apply(table.value);
	}

	private async showDifferences(table: ParsedTable): Promise<number> {
		const stored = await fetchTable(this.openKeyValue());
		if (stored.isErr()) {
			this.printErrors([stored.error.message]);
			return exitCode.unavailable;
		}

		const differences = diffTables(stored.value.snapshot?.rows ?? [], table.rows);
		this.print(differences, [`${differences.length} rows would differ`, ...differences.map(({key}) => `  ${key}`)]);
		return exitCode.ok;
	}

	private async apply(table: ParsedTable): Promise<number> {
		const changeId = this.changeId ?? randomUUID();
		const versions = await this.fetchEntryVersions();
		const knownVersion = Math.max(0, ...versions.map(({table: {version}}) => version));
		const applied = await applyTable(this.openKeyValue(), table, {
			changeId, operator: userInfo().username, now: readClock(), knownVersion,
		});
		if (applied.isErr()) {
			return this.reportError(applied.error, changeId);
		}

		this.print({outcome: 'accepted', version: applied.value, changeId}, [`accepted as version ${applied.value}, change ${changeId}`]);
		return this.isWaiting ? this.waitUntilInForce(applied.value) : exitCode.ok;
	}

	private reportError(error: TableError, changeId: string): number {
		if (error.kind === 'unknown') {
			this.printErrors([`unknown: ${error.message}; see "table status ${changeId}", or apply again with --change ${changeId}`]);
			return exitCode.unknown;
		}

		const conflicts = error.conflicts.flatMap(({key, mine, theirs}) => [key, `  yours:  ${describeRow(mine)}`, `  theirs: ${describeRow(theirs)}`]);
		this.printErrors([`refused: ${error.message}`, ...conflicts]);
		return error.kind === 'unavailable' ? exitCode.unavailable : exitCode.refused;
	}

	private async fetchEntryVersions(): Promise<Array<z.infer<typeof entryVersion>>> {
		try {
			const entries = await this.findEntryUrls();
			const pages = await Promise.all(entries.map(async entry => this.fetchAdminPage(entry, 'status')));
			return pages.map(page => entryVersion.safeParse(page)).filter(({success}) => success).map(({data}) => data!);
		} catch {
			return [];
		}
	}

	private async waitUntilInForce(version: number): Promise<number> {
		const shown = new Set<string>();
		for (let waitedMs = 0; waitedMs < maximumWaitMs; waitedMs += pollIntervalMs) {
			const versions = await this.fetchEntryVersions();
			const zones = [...new Set(versions.map(({availabilityZone}) => availabilityZone))];
			const ready = zones.filter(zone => versions.every(one => one.availabilityZone !== zone || one.table.version >= version));
			for (const zone of ready.filter(name => !shown.has(name))) {
				shown.add(zone);
				this.print({zone, version}, [`in force in ${zone}`]);
			}

			if (zones.length > 0 && ready.length === zones.length) {
				return exitCode.ok;
			}

			await delay(pollIntervalMs);
		}

		this.printErrors([`not yet in force everywhere after ${maximumWaitMs / 1000} s; see "status"`]);
		return exitCode.unknown;
	}
}
