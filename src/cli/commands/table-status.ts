import {Command, Option} from 'clipanion';
import {fetchTable} from '../../table/fetch-table.js';
import {exitCode} from '../exit-code.js';
import {OperatorCommand} from '../operator-command.js';

/** `table status CHANGE`: looks up the outcome of a change. */
export class TableStatus extends OperatorCommand {
	static override paths = [['table', 'status']];
	static override usage = Command.Usage({description: 'show whether a change was accepted'});
	changeId = Option.String();

	async execute(): Promise<number> {
		const stored = await fetchTable(this.openKeyValue());
		if (stored.isErr()) {
			this.printErrors([stored.error.message]);
			return exitCode.unavailable;
		}

		const head = stored.value.snapshot?.head;
		const accepted = head?.recent.find(({changeId}) => changeId === this.changeId);
		if (accepted) {
			this.print({outcome: 'accepted', version: accepted.version}, [`accepted as version ${accepted.version}`]);
			return exitCode.ok;
		}

		this.print({outcome: 'not accepted', version: head?.version ?? 0}, [`not among the last ${head?.recent.length ?? 0} changes; the table is at version ${head?.version ?? 0}`]);
		return exitCode.refused;
	}
}
