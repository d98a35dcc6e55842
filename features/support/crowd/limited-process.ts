import {spawn, type ChildProcess} from 'node:child_process';
import {readdirSync, readFileSync} from 'node:fs';
import process from 'node:process';

type Machine = {
	/** Limit on the heap, MB. */
	readonly heapMb: number;
	/** Limit on open descriptors. */
	readonly descriptors: number;
};

/** A program of the system as a process of its own, with the limits of a small machine. */
export class LimitedProcess {
	private readonly child: ChildProcess;
	private text = '';

	constructor(readonly name: string, words: readonly string[], {heapMb, descriptors}: Machine) {
		const command = [process.execPath, `--max-old-space-size=${heapMb}`, ...words];
		this.child = spawn('sh', ['-c', `ulimit -n ${descriptors} && exec "$@"`, 'sh', ...command], {stdio: ['ignore', 'pipe', 'pipe']});
		for (const stream of [this.child.stdout!, this.child.stderr!]) {
			stream.on('data', chunk => {
				this.text = (this.text + String(chunk)).slice(-10_000);
			});
		}
	}

	get hasEnded(): boolean {
		return this.child.exitCode !== null || this.child.signalCode !== null;
	}

	/** How the process ended and the last that it wrote. */
	get ending(): string {
		return `${this.name}: code ${this.child.exitCode}, signal ${this.child.signalCode}: ${this.text}`;
	}

	/** Exit code; null if the process was killed, or runs. */
	get exitCode(): number | null {
		return this.child.exitCode;
	}

	/** Highest memory in use since the start, MB. */
	get peakMb(): number {
		const status = readFileSync(`/proc/${this.child.pid}/status`, 'utf8');
		return Number(/VmHWM:\s+(?<kb>\d+)/v.exec(status)!.groups!.kb) / 1024;
	}

	/** Open descriptors. */
	get descriptors(): number {
		return readdirSync(`/proc/${this.child.pid}/fd`).length;
	}

	send(signal: NodeJS.Signals): void {
		this.child.kill(signal);
	}

	/** Resolves when the process has ended. */
	async ended(): Promise<void> {
		if (!this.hasEnded) {
			await new Promise(resolve => {
				this.child.once('exit', resolve);
			});
		}
	}
}
