import {writeFileSync} from 'node:fs';
import process from 'node:process';

/** Collects what was sent, answered and run, with the time in milliseconds, and writes it to a file at the end. */
export class Record {
	#lines = [];
	#startedAt = performance.now();

	constructor(file) {
		this.file = file;
	}

	note(text) {
		this.noteAt(performance.now(), text);
	}

	/** Notes what happened at a time of `performance.now`. */
	noteAt(at, text) {
		this.#lines.push({at, text: `${Math.round(at - this.#startedAt)} ms  ${text}`});
	}

	/** Writes the record with the verdict as its last line. */
	end(verdict) {
		this.note(verdict);
		const lines = this.#lines.toSorted((one, other) => one.at - other.at).map(({text}) => text);
		writeFileSync(this.file, lines.join('\n') + '\n');
		process.stdout.write(`${verdict}\n`);
	}
}

/** Waits until a condition holds; false if it does not in time. */
export async function waitUntil(condition, timeoutMs) {
	const until = performance.now() + timeoutMs;
	while (!condition()) {
		if (performance.now() > until) {
			return false;
		}

		await new Promise(resolve => {
			setTimeout(resolve, 5);
		});
	}

	return true;
}
