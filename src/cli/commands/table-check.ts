import {Command, Option} from 'clipanion';
import {exitCode} from '../exit-code.js';
import {OperatorCommand} from '../operator-command.js';
import {readTableFile} from '../read-table-file.js';

/** `table check FILE`: validates a table file. */
export class TableCheck extends OperatorCommand {
	static override paths = [['table', 'check']];
	static override usage = Command.Usage({description: 'check a table file and list all problems'});
	file = Option.String();

	async execute(): Promise<number> {
		const table = readTableFile(this.file);
		if (table.isErr()) {
			this.printErrors(table.error);
			return exitCode.refused;
		}

		this.print({rows: table.value.rows.length, basedOn: table.value.basedOn}, [`${this.file}: ${table.value.rows.length} rows, based on version ${table.value.basedOn}`]);
		return exitCode.ok;
	}
}
