import {Buffer} from 'node:buffer';
import {ChunkList} from '../memory/chunk-list.js';

type StreamEvent = {
	readonly bytes: Buffer;
	/** The event's id; undefined when it has none. */
	readonly id: number | undefined;
};

const lineFeed = 10;
const carriageReturn = 13;
const letterI = 105;
const letterD = 100;
const idLine = /(?:^|\n)id: ?(?<id>\d+)/v;

/* Whether the line of the chunk that begins at `start` may give an id. */
const mayGiveId = (chunk: Buffer, start: number): boolean => chunk[start] === letterI && chunk[start + 1] === letterD;

/**
 * Splits the bytes of an event stream (server-sent events) into complete events; a blank line ends an event. Neighbouring
 * events without ids are returned as one. Looks at each byte once.
 */
export class EventSplitter {
	/** Bytes of an incomplete event. */
	private readonly pending = new ChunkList();
	/** The last two of the pending bytes, or fewer. */
	private pendingEnd = Buffer.alloc(0);

	/** Bytes buffered of an incomplete event. */
	get pendingBytes(): number {
		return this.pending.length;
	}

	/** Adds bytes and returns the events that are now complete. */
	push(chunk: Buffer): StreamEvent[] {
		const events: StreamEvent[] = [];
		let start = 0;
		/** Start of the events without ids before `start`. */
		let runStart = 0;
		let lineStart = 0;
		let mayHaveId = false;
		const closeRun = (): void => {
			if (runStart < start) {
				events.push({bytes: chunk.subarray(runStart, start), id: undefined});
			}
		};

		for (let position = chunk.indexOf(lineFeed); position !== -1; position = chunk.indexOf(lineFeed, lineStart)) {
			mayHaveId ||= mayGiveId(chunk, lineStart);
			lineStart = position + 1;
			if (this.isBlankLine(chunk, start, position)) {
				if (mayHaveId || this.pending.length > 0) {
					closeRun();
					events.push(this.complete(chunk.subarray(start, lineStart)));
					runStart = lineStart;
				}

				start = lineStart;
				mayHaveId = false;
			}
		}

		closeRun();
		this.keep(chunk.subarray(start));
		return events;
	}

	/* Whether the line feed at `position` ends a line without characters; the event's bytes in the chunk begin at `start`. */
	private isBlankLine(chunk: Buffer, start: number, position: number): boolean {
		const getByteBefore = (distance: number): number | undefined => position - distance >= start
			? chunk[position - distance]
			: this.pendingEnd.at(position - distance - start);
		const before = getByteBefore(1);
		return before === lineFeed || (before === carriageReturn && getByteBefore(2) === lineFeed);
	}

	private complete(end: Buffer): StreamEvent {
		const bytes = this.pending.length === 0 ? end : Buffer.concat([...this.pending.take(), end]);
		this.pendingEnd = Buffer.alloc(0);
		const id = idLine.exec(bytes.toString('latin1'))?.groups?.id;
		return {bytes, id: id === undefined ? undefined : Number(id)};
	}

	private keep(rest: Buffer): void {
		if (rest.length > 0) {
			this.pending.push(rest);
			this.pendingEnd = Buffer.concat([this.pendingEnd, rest.subarray(-2)]).subarray(-2);
		}
	}
}
