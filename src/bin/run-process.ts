import process from 'node:process';
import {type Result} from 'neverthrow';
import {type NodeSettings} from '../config/node-settings.js';
import {type SettingsError} from '../config/settings-error.js';
import {getLogger} from '../log/get-logger.js';
import {startLogging} from '../log/start-logging.js';

/** A started process of the system; `stopped` resolves after a planned stop. */
type RunningProcess = {
	readonly stopped?: Promise<void>;
	stop(): Promise<void>;
	kill(): Promise<void>;
};

type ProcessOptions<Settings> = {
	readonly name: string;
	readonly readFile: (file: string) => Result<Settings, SettingsError>;
	readonly start: (settings: Settings) => Promise<RunningProcess>;
};

const usageExitCode = 2;
const settingsExitCode = 78;
const killedExitCode = 1;

/**
 * Runs a process of the system: reads the settings file and starts the process. SIGTERM or SIGINT begins a planned stop; a second
 * signal ends the process immediately. SIGHUP only checks the settings file.
 *
 * Exit codes: 0 after a planned stop, 1 if a second signal ended it, 2 for wrong arguments, 78 for invalid settings.
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
	const running = await options.start(settings.value);
	let isStopping = false;
	const handleSignal = (): void => {
		if (isStopping) {
			process.exitCode = killedExitCode;
			void running.kill().then(() => {
				process.exit(killedExitCode); // eslint-disable-line unicorn/no-process-exit
			});
			return;
		}

		isStopping = true;
		void running.stop();
	};

	const logger = getLogger('process');
	process.on('SIGHUP', () => {
		// Settings are applied only at the start, so a changed file never affects running requests.
		logger.info(`SIGHUP: ${describeReload(options.readFile(files[0]))}`);
	});
	process.on('SIGTERM', handleSignal);
	process.on('SIGINT', handleSignal);
	await running.stopped;
	if (isStopping) {
		// A socket that a peer keeps open must not keep the process alive.
		process.exit(); // eslint-disable-line unicorn/no-process-exit
	}
}

function describeReload(settings: Result<unknown, SettingsError>): string {
	return settings.isErr() ? `the settings file is invalid: ${settings.error.message}` : 'the settings file is valid; it takes effect at the next start';
}
