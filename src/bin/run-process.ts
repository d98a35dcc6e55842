import process from 'node:process';
import {type Result} from 'neverthrow';
import {type NodeSettings} from '../config/node-settings.js';
import {type SettingsError} from '../config/settings-error.js';
import {getLogger} from '../log/get-logger.js';
import {startLogging} from '../log/start-logging.js';
import {ProcessLifecycle} from './process-lifecycle.js';
import {processSignals} from './process-signals.js';

type ProcessOptions<Settings> = {
	readonly name: string;
	readonly readFile: (file: string) => Result<Settings, SettingsError>;
	readonly start: (settings: Settings) => ReturnType<ConstructorParameters<typeof ProcessLifecycle>[0]['start']>;
};

const usageExitCode = 2;
const settingsExitCode = 78;

/**
 * Runs a process of the system: reads the settings file and starts the process. SIGTERM or SIGINT begins a planned stop, once the
 * process has started; SIGINT during it ends the process immediately, SIGTERM changes nothing, as platforms may repeat it. SIGHUP only
 * checks the settings file. An error that nothing has handled is logged, and begins a planned stop as well.
 *
 * Exit codes: 0 after a planned stop, 1 if SIGINT ended it during the stop, 2 for wrong arguments, 70 after an error that nothing
 * has handled, 78 for invalid settings.
 */
export async function runProcess<Settings extends {readonly logLevel: NodeSettings['logLevel']}>(options: ProcessOptions<Settings>, args: readonly string[]): Promise<void> {
	const isCheck = args.includes('--check-settings');
	const files = args.filter(word => !word.startsWith('--'));
	const unknown = args.find(word => word.startsWith('--') && word !== '--check-settings');
	if (files.length !== 1 || unknown !== undefined) {
		process.stderr.write(`usage: ${options.name} [--check-settings] SETTINGS.toml\n`);
		process.exitCode = usageExitCode;
		return;
	}

	const settings = options.readFile(files[0]);
	if (settings.isErr()) {
		process.stderr.write(`${settings.error.message}\n`);
		process.exitCode = settingsExitCode;
		return;
	}

	if (isCheck) {
		process.stdout.write(`${files[0]}: ok\n`);
		return;
	}

	startLogging(settings.value.logLevel);
	const lifecycle = new ProcessLifecycle({
		start: async () => options.start(settings.value),
		describeReload: () => describeReload(options.readFile(files[0])),
		logger: getLogger('process'),
	});
	// An unhandled rejection arrives here too.
	process.on('uncaughtException', (error, origin) => {
		lifecycle.receiveError(error, origin);
	});
	processSignals.deliverTo(signal => {
		lifecycle.receive(signal);
	});
	await lifecycle.run();
}

function describeReload(settings: Result<unknown, SettingsError>): string {
	return settings.isErr() ? `the settings file is invalid: ${settings.error.message}` : 'the settings file is valid; it takes effect at the next start';
}
