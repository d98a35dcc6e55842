import {
	execFileSync, spawn, type ChildProcess,
} from 'node:child_process';
import {once} from 'node:events';
import {
	closeSync, constants, mkdtempSync, openSync, readFileSync, renameSync, writeFileSync, writeSync,
} from 'node:fs';
import {connect} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {findFreePorts} from '../../bench/support/find-free-ports.js';

/** File and example settings of the programs, by their names in scenarios. */
const programs: Readonly<Record<string, {readonly file: string; readonly settings: string}>> = {
	'bin/wardswitch-entry': {file: 'src/bin/wardswitch-entry.js', settings: 'entry'},
	'bin/wardswitch-target': {file: 'src/bin/wardswitch-target.js', settings: 'target'},
	'forwarding entry': {file: 'platform/entry.js', settings: 'forward-entry'},
	'rank process': {file: 'platform/rank.js', settings: 'rank'},
};
/** Ports that a program listens on, or finds nothing at, in the example settings. */
const portPattern = /(?<key>Port = |"127\.0\.0\.1:)\d+/gv;
const maximumPorts = 8;
/** Longest time until a condition holds, milliseconds. */
const timeoutMs = 10_000;

/** A process that starts, and reads its settings only when the scenario provides them. */
export class StartingProcess {
	/** Starts a program whose settings file is a pipe. */
	static async start(program: string): Promise<StartingProcess> {
		const {file, settings} = programs[program];
		const ports = await findFreePorts(maximumPorts);
		const text = readFileSync(`examples/${settings}.toml`, 'utf8').replaceAll(portPattern, (_match, key: string) => `${key}${ports.pop()!}`);
		const pipe = path.join(mkdtempSync(path.join(tmpdir(), 'wardswitch-start-')), 'settings.toml');
		execFileSync('mkfifo', [pipe]);
		const child = spawn(process.execPath, [`dist/${file}`, pipe], {stdio: ['ignore', 'pipe', 'pipe']});
		const started = new StartingProcess(child, pipe, text);
		started.linkPort = Number(/linkPort = (?<port>\d+)/v.exec(text)!.groups!.port);
		return started;
	}

	text = '';
	private linkPort = 0;

	private constructor(private readonly child: ChildProcess, private readonly pipe: string, private readonly settings: string) {
		for (const stream of [child.stdout!, child.stderr!]) {
			stream.on('data', chunk => {
				this.text += String(chunk);
			});
		}
	}

	get hasEnded(): boolean {
		return this.child.exitCode !== null || this.child.signalCode !== null;
	}

	get ending(): string {
		return `code ${this.child.exitCode}, signal ${this.child.signalCode}: ${this.text}`;
	}

	send(signal: NodeJS.Signals): void {
		this.child.kill(signal);
	}

	/** Ends the process at once. */
	kill(): void {
		this.child.kill('SIGKILL');
	}

	/** Waits until the process handles a signal, by its number. */
	async untilHandled(number: number): Promise<void> {
		await this.until(() => {
			const {mask} = /SigCgt:\s*(?<mask>[\da-f]+)/v.exec(readFileSync(`/proc/${this.child.pid}/status`, 'utf8'))!.groups!;
			return (BigInt(`0x${mask}`) & (1n << BigInt(number - 1))) !== 0n; // eslint-disable-line no-bitwise
		});
	}

	/** Waits until the process opens its settings; returns the descriptor to write them to. */
	async untilReading(): Promise<number> {
		let descriptor: number | undefined;
		await this.until(() => {
			try {
				// Fails as long as nobody reads.
				descriptor = openSync(this.pipe, constants.O_WRONLY | constants.O_NONBLOCK); // eslint-disable-line no-bitwise
			} catch {
				descriptor = undefined;
			}

			return descriptor !== undefined;
		});
		return descriptor!;
	}

	/** Provides the settings, for this and all later readings. */
	writeSettings(descriptor: number): void {
		writeFileSync(`${this.pipe}.file`, this.settings);
		renameSync(`${this.pipe}.file`, this.pipe);
		writeSync(descriptor, this.settings);
		closeSync(descriptor);
	}

	/** Waits until the process accepts connections. */
	async untilListening(): Promise<void> {
		await this.until(async () => {
			const socket = connect(this.linkPort, '127.0.0.1');
			try {
				await once(socket, 'connect');
				return true;
			} catch {
				return false;
			} finally {
				socket.destroy();
			}
		});
	}

	/** Waits until a condition holds; fails when the process ends before, or after the timeout. */
	async until(condition: () => boolean | Promise<boolean>, mayEnd = false): Promise<void> {
		const end = performance.now() + timeoutMs;
		while (!await condition()) {
			if ((this.hasEnded && !mayEnd) || performance.now() > end) {
				throw new Error(`${this.hasEnded ? 'the process has ended' : 'condition not met'}: ${condition.toString()}; ${this.ending}`);
			}

			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}
	}
}
