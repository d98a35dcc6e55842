import {Command} from 'clipanion';
import {parseJsonItem} from '../../key-value/parse-json-item.js';
import {TableHead} from '../../table/table-head.js';
import {tableKeys} from '../../table/table-keys.js';
import {exitCode} from '../exit-code.js';
import {OperatorCommand} from '../operator-command.js';

/** `table history`: lists the stored versions of the table. */
export class TableHistory extends OperatorCommand {
	static override paths = [['table', 'history']];
	static override usage = Command.Usage({description: 'list the versions of the table, the newest first'});

	async execute(): Promise<number> {
		const stored = await this.openKeyValue().list(tableKeys.historyPrefix);
		if (stored.isErr()) {
			this.printErrors([stored.error.message]);
			return exitCode.unavailable;
		}

		const parsed = stored.value.map(item => parseJsonItem(item, TableHead));
		const problems = parsed.flatMap(head => head.isErr() ? [head.error] : []);
		if (problems.length > 0) {
			this.printErrors(problems);
		}

		const heads = parsed.flatMap(head => head.isOk() ? [head.value] : []).toReversed();
		this.print(heads, heads.map(({version, at, operator, changeId}) => `${version}  ${new Date(at).toISOString()}  ${operator}  ${changeId}`));
		return exitCode.ok;
	}
}
