import {Command, Option} from 'clipanion';
import {diffTables} from '../../table/diff-tables.js';
import {fetchTable} from '../../table/fetch-table.js';
import {describeRow} from '../describe-row.js';
import {exitCode} from '../exit-code.js';
import {OperatorCommand} from '../operator-command.js';
import {readTableFile} from '../read-table-file.js';

/** `table diff FILE`: compares a table file with the stored table. */
export class TableDiff extends OperatorCommand {
	static override paths = [['table', 'diff']];
	static override usage = Command.Usage({description: 'show the differences between the table on the platform and a table file'});
	file = Option.String();

	async execute(): Promise<number> {
		const table = readTableFile(this.file);
		if (table.isErr()) {
			this.printErrors(table.error);
			return exitCode.refused;
		}

		const stored = await fetchTable(this.openKeyValue());
		if (stored.isErr()) {
			this.printErrors([stored.error.message]);
			return exitCode.unavailable;
		}

		const differences = diffTables(stored.value.snapshot?.rows ?? [], table.value.rows);
		const lines = differences.flatMap(({key, before, after}) => [key, `  before: ${describeRow(before)}`, `  after:  ${describeRow(after)}`]);
		this.print(differences, lines.length > 0 ? lines : ['no difference']);
		return exitCode.ok;
	}
}
