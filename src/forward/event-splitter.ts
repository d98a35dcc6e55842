import {Buffer} from 'node:buffer';

type StreamEvent = {
	readonly bytes: Buffer;
	/** The event's id; undefined when it has none. */
	readonly id: number | undefined;
};

const lineFeed = 10;
const carriageReturn = 13;
const idLine = /(?:^|\n)id: ?(?<id>\d+)/v;

/** Splits the bytes of an event stream (server-sent events) into complete events; a blank line ends an event. */
export class EventSplitter {
	private pending: Buffer = Buffer.alloc(0);

	/** Bytes buffered of an incomplete event. */
	get pendingBytes(): number {
		return this.pending.length;
	}

	/** Adds bytes and returns the events that are now complete. */
	push(chunk: Buffer): StreamEvent[] {
		this.pending = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
		const events: StreamEvent[] = [];
		let start = 0;
		for (let end = this.findEnd(start); end !== -1; end = this.findEnd(start)) {
			const bytes = this.pending.subarray(start, end);
			const id = idLine.exec(bytes.toString('latin1'))?.groups?.id;
			events.push({bytes, id: id === undefined ? undefined : Number(id)});
			start = end;
		}

		this.pending = this.pending.subarray(start);
		return events;
	}

	/* Position after the blank line that ends the event beginning at `start`; -1 when it has not arrived. */
	private findEnd(start: number): number {
		for (let position = this.pending.indexOf(lineFeed, start); position !== -1; position = this.pending.indexOf(lineFeed, position + 1)) {
			const next = this.pending[position + 1] === carriageReturn ? position + 2 : position + 1;
			if (this.pending[next] === lineFeed) {
				return next + 1;
			}
		}

		return -1;
	}
}
