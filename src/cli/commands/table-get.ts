import {Command} from 'clipanion';
import {fetchTable} from '../../table/fetch-table.js';
import {formatTable} from '../../table/format-table.js';
import {exitCode} from '../exit-code.js';
import {OperatorCommand} from '../operator-command.js';

/** `table get`: exports the stored table as CSV. */
export class TableGet extends OperatorCommand {
	static override paths = [['table', 'get']];
	static override usage = Command.Usage({description: 'print the table as CSV, with the version it is based on'});

	async execute(): Promise<number> {
		const stored = await fetchTable(this.openKeyValue());
		if (stored.isErr()) {
			this.printErrors([stored.error.message]);
			return exitCode.unavailable;
		}

		const {snapshot} = stored.value;
		const csv = formatTable(snapshot?.rows ?? [], snapshot?.version ?? 0);
		this.print({version: snapshot?.version ?? 0, rows: snapshot?.rows ?? []}, [csv.trimEnd()]);
		return exitCode.ok;
	}
}
