import {Builtins, Cli} from 'clipanion';
import {Explain} from './commands/explain.js';
import {Lab} from './commands/lab.js';
import {Log} from './commands/log.js';
import {MapReplay} from './commands/map-replay.js';
import {MapTrace} from './commands/map-trace.js';
import {Status} from './commands/status.js';
import {TableApply} from './commands/table-apply.js';
import {TableCheck} from './commands/table-check.js';
import {TableDiff} from './commands/table-diff.js';
import {TableGet} from './commands/table-get.js';
import {TableHistory} from './commands/table-history.js';
import {TableRestore} from './commands/table-restore.js';
import {TableStatus} from './commands/table-status.js';
import {TargetList} from './commands/target-list.js';
import {TargetOrder} from './commands/target-order.js';

const commands = [
	Builtins.HelpCommand, TableCheck, TableGet, TableDiff, TableApply, TableStatus, TableRestore, TableHistory, TargetList, TargetOrder, Status, Explain, Lab, Log, MapReplay, MapTrace,
];

/** Creates the operator's command line. To add a command, add its file to `commands` and its class to the list above. */
export function createCommandLine(): Cli {
	const cli = new Cli({binaryLabel: 'wardswitch', binaryName: 'wardswitch'});
	for (const command of commands) {
		cli.register(command);
	}

	return cli;
}
