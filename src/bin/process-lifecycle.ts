import process from 'node:process';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {type Logger} from 'roarr';

/** A started process of the system; `stopped` resolves after a planned stop. */
type RunningProcess = {
	readonly stopped?: Promise<void>;
	stop(): Promise<void>;
	kill(): Promise<void>;
};

type LifecycleOptions = {
	readonly start: () => Promise<RunningProcess>;
	/** Says whether the settings file is valid. */
	readonly describeReload: () => string;
	readonly logger: Logger;
};

const killedExitCode = 1;
const errorExitCode = 70;
/** A start that does not finish within this time after a signal to stop is given up, milliseconds: the platform waits 8 s until it kills. */
const startTimeoutMs = 5000;

/**
 * Starts a process, and stops it as planned on signals and after an error that nothing has handled, so that open requests are answered
 * even then. What arrives during the start stops the process once it has started.
 */
export class ProcessLifecycle {
	private running: RunningProcess | undefined;
	private isStopping = false;
	/** Whether a signal has asked the process to stop. */
	private isAsked = false;

	constructor(private readonly options: LifecycleOptions) {}

	/** Handles a signal. */
	receive(signal: NodeJS.Signals): void {
		if (signal === 'SIGHUP') {
			// Settings are applied only at the start, so a changed file never affects running requests.
			this.options.logger.info(`SIGHUP: ${this.options.describeReload()}`);
		} else if (this.isAsked && signal === 'SIGINT') {
			this.options.logger.warn(`${signal} during the stop: the process ends at once`);
			this.kill();
		} else {
			this.isAsked = true;
			this.stopOnce(signal);
		}
	}

	/** Handles an error that nothing else has handled; `origin` says whether it was thrown or rejected with. */
	receiveError(error: unknown, origin: string): void {
		process.exitCode = errorExitCode;
		this.options.logger.error(`${origin}, ${this.isStopping ? 'during the stop' : 'the process stops'}: ${error instanceof Error ? error.stack ?? error.message : String(error)}`);
		this.stopOnce(origin);
	}

	/** Runs the process; resolves when it has stopped, or has nothing left to do. */
	async run(): Promise<void> {
		// Signals that arrived while the program was loaded or has read its settings are delivered in this turn.
		await nextTurn();
		if (this.isStopping) {
			this.options.logger.info('stopped before the start');
			return;
		}

		const running = await this.start();
		if (!running) {
			return;
		}

		this.running = running;
		if (this.isStopping) {
			void this.stopRunning(running);
		}

		await running.stopped;
		if (running.stopped && this.isStopping) {
			// A socket that a peer keeps open must not keep the process alive.
			process.exit(); // eslint-disable-line unicorn/no-process-exit
		}
	}

	private async start(): Promise<RunningProcess | undefined> {
		try {
			return await this.options.start();
		} catch (error) {
			this.receiveError(error, 'not started');
			process.exit(); // eslint-disable-line unicorn/no-process-exit
		}
	}

	/* A planned stop that fails would leave a process that serves nobody. */
	private async stopRunning(running: RunningProcess): Promise<void> {
		try {
			await running.stop();
		} catch (error) {
			this.receiveError(error, 'the planned stop failed');
			process.exit(); // eslint-disable-line unicorn/no-process-exit
		}
	}

	/* A signal after an error asks for the stop that has begun. */
	private stopOnce(cause: string): void {
		if (this.isStopping) {
			this.options.logger.info(`${cause}: the process is stopping`);
		} else {
			this.isStopping = true;
			this.stop(cause);
		}
	}

	private stop(cause: string): void {
		if (this.running) {
			void this.stopRunning(this.running);
			return;
		}

		this.options.logger.info(`${cause} during the start: the process stops once it has started`);
		setTimeout(() => {
			if (!this.running) {
				this.options.logger.warn(`not started ${startTimeoutMs} ms after ${cause}: the process ends`);
				process.exit(); // eslint-disable-line unicorn/no-process-exit
			}
		}, startTimeoutMs).unref();
	}

	private kill(): void {
		process.exitCode = killedExitCode;
		void Promise.resolve(this.running?.kill()).finally(() => {
			process.exit(killedExitCode); // eslint-disable-line unicorn/no-process-exit
		});
	}
}
