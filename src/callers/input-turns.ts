/** Bytes that the parser sees in a turn of the event loop: what is given up for lack of memory is freed only at its end. */
const turnBytes = 256 * 1024;
/** Connections that are read on in a turn. */
const callsPerTurn = 8;

/** Divides the turns of the event loop among the connections that have input. */
export class InputTurns {
	private usedBytes = 0;
	private readonly waiting: Array<() => void> = [];
	private isScheduled = false;

	/** Whether input can still be parsed in this turn. */
	get hasRoom(): boolean {
		return this.usedBytes < turnBytes;
	}

	/** Notes that bytes have been parsed. */
	use(bytes: number): void {
		this.usedBytes += bytes;
		this.schedule();
	}

	/** Calls a function in a later turn. */
	defer(call: () => void): void {
		this.waiting.push(call);
		this.schedule();
	}

	private schedule(): void {
		if (this.isScheduled) {
			return;
		}

		this.isScheduled = true;
		setImmediate(() => {
			this.isScheduled = false;
			this.usedBytes = 0;
			for (const call of this.waiting.splice(0, callsPerTurn)) {
				call();
			}

			if (this.waiting.length > 0) {
				this.schedule();
			}
		});
	}
}
