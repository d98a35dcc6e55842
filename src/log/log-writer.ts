import {write, writeSync} from 'node:fs';

type WriterOptions = {
	/** File descriptor that lines go to. */
	readonly descriptor: number;
	/** Most lines in one second; the rest is counted and left out. */
	readonly linesPerSecond: number;
	readonly clock: () => number;
};

/** Lines that wait while the reader is slow, characters; beyond them lines are left out. */
const maximumPendingCharacters = 256 * 1024;
/** Time for which lines are collected into one write, milliseconds. */
const flushIntervalMs = 50;
const secondMs = 1000;

/** Writes log lines without ever waiting for their reader: bounded in rate and in what is kept, and says what it left out. */
export class LogWriter {
	private pending: string[] = [];
	private pendingSize = 0;
	private isWriting = false;
	private timer: NodeJS.Timeout | undefined;
	private secondStart = 0;
	private linesInSecond = 0;
	private droppedLines = 0;

	constructor(private readonly options: WriterOptions) {}

	/** Takes a line, or counts it as left out. */
	add(line: string): void {
		const now = this.options.clock();
		if (now - this.secondStart >= secondMs) {
			this.secondStart = now;
			this.linesInSecond = 0;
			this.reportDroppedLines();
		}

		this.linesInSecond++;
		if (this.linesInSecond > this.options.linesPerSecond || this.pendingSize + line.length > maximumPendingCharacters) {
			this.droppedLines++;
			return;
		}

		this.enqueue(line);
	}

	/** Writes what is left, at the process's end. */
	flushSync(): void {
		clearTimeout(this.timer);
		this.reportDroppedLines();
		try {
			writeSync(this.options.descriptor, this.pending.join(''));
		} catch {
			// The reader is gone: there is nobody left to tell.
		}

		this.pending = [];
	}

	private enqueue(line: string): void {
		this.pending.push(`${line}\n`);
		this.pendingSize += line.length + 1;
		this.timer ??= setTimeout(() => {
			this.flush();
		}, flushIntervalMs);
		this.timer.unref();
	}

	private reportDroppedLines(): void {
		if (this.droppedLines > 0) {
			this.enqueue(JSON.stringify({message: `log: ${this.droppedLines} lines left out`, context: {part: 'log'}}));
			this.droppedLines = 0;
		}
	}

	private flush(): void {
		this.timer = undefined;
		if (this.isWriting || this.pending.length === 0) {
			return;
		}

		const text = this.pending.join('');
		this.pending = [];
		this.pendingSize = 0;
		this.isWriting = true;
		write(this.options.descriptor, text, () => {
			this.isWriting = false;
			this.flush();
		});
	}
}
