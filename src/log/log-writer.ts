import {write, writeSync} from 'node:fs';

type WriterOptions = {
	/** File descriptor that lines are written to. */
	readonly descriptor: number;
	/** Maximum number of lines per second; further lines are dropped and counted. */
	readonly linesPerSecond: number;
	/** The present time, milliseconds. */
	readonly clock: () => number;
};

/** Maximum size of the lines that wait for a slow reader, characters; further lines are dropped. */
const maximumPendingCharacters = 256 * 1024;
/** Time for which lines are batched into one write, milliseconds. */
const flushIntervalMs = 50;
const secondMs = 1000;

/** Writes log lines without blocking on the reader. The rate and the buffer are bounded; the number of dropped lines is logged. */
export class LogWriter {
	private pending: string[] = [];
	private pendingSize = 0;
	private isWriting = false;
	private timer: NodeJS.Timeout | undefined;
	private secondStart = 0;
	private linesInSecond = 0;
	private droppedLines = 0;

	constructor(private readonly options: WriterOptions) {}

	/** Queues a line for writing, or drops and counts it when the rate or the buffer is exhausted. */
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

	/** Writes the pending lines synchronously; called when the process exits. */
	flushSync(): void {
		clearTimeout(this.timer);
		this.reportDroppedLines();
		try {
			writeSync(this.options.descriptor, this.pending.join(''));
		} catch {
			// The reader has closed the pipe; the lines are lost.
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
			this.enqueue(JSON.stringify({message: `log: ${this.droppedLines} lines dropped`, context: {part: 'log'}}));
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
