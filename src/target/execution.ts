import {type MessageOf} from '../link/message-of.js';
import {AnswerBuffer} from './answer-buffer.js';
import {type AnswerMessage} from './answer-message.js';
import {type AnswerPart} from './answer-part.js';

type Reader = {
	readonly id: string;
	readonly attempt: number;
	readonly send: (message: AnswerMessage) => boolean;
};

type ExecutionOptions = {
	readonly request: MessageOf<'request'>;
	readonly replayBytes: number;
	readonly arrivedAt: number;
};

/** One request as its target process knows it: where it stands, its answer so far, and who reads it. */
export class Execution {
	readonly request: MessageOf<'request'>;
	readonly arrivedAt: number;
	state: 'waiting' | 'running' | 'done' = 'waiting';
	startedAt = 0;
	endedAt = 0;
	/** Aborts the call to the engine. */
	readonly abort = new AbortController();
	/** When the last reader's link was lost; undefined while one reads. */
	unreadSince: number | undefined;

	private readonly buffer: AnswerBuffer;
	private readonly readers = new Map<string, Reader>();
	private roomListener: (() => void) | undefined;

	constructor(options: ExecutionOptions) {
		this.request = options.request;
		this.arrivedAt = options.arrivedAt;
		this.buffer = new AnswerBuffer(options.replayBytes, options.request.once !== undefined);
	}

	/** Whether the whole answer is there. */
	get isEnded(): boolean {
		return this.buffer.isEnded;
	}

	/** Whether a reader has the whole answer. */
	get isDelivered(): boolean {
		return this.buffer.isEnded && this.buffer.isAcknowledged;
	}

	/** Adds a part of the answer and sends it to each reader. */
	addPart(part: AnswerPart): void {
		if (this.isEnded) {
			return;
		}

		const sequence = this.buffer.add(part);
		for (const reader of this.readers.values()) {
			this.deliver(reader, sequence, part);
		}
	}

	/** Waits until the reader has taken enough that the engine may go on. */
	async waitForRoom(): Promise<void> {
		if (this.buffer.hasRoom || this.abort.signal.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			this.roomListener = resolve;
			this.abort.signal.addEventListener('abort', () => {
				resolve();
			}, {once: true});
		});
	}

	/** Notes what a reader has; the slowest reader decides nothing, the first to acknowledge does. */
	acknowledge(sequence: number): void {
		this.buffer.acknowledge(sequence);
		if (this.buffer.hasRoom) {
			this.roomListener?.();
			this.roomListener = undefined;
		}
	}

	/**
	 * Adds a reader, and sends it the answer from `sequence` on.
	 *
	 * @returns false when that part of the answer is no longer kept
	 */
	addReader(reader: Reader, sequence: number): boolean {
		const parts = this.buffer.read(sequence);
		if (parts === undefined) {
			return false;
		}

		this.readers.set(`${reader.id}/${reader.attempt}`, reader);
		this.unreadSince = undefined;
		for (const part of parts) {
			this.deliver(reader, part.sequence, part.part);
		}

		return true;
	}

	/** Removes the readers for which `isGone` holds, such as those of a closed link. */
	removeReaders(isGone: (reader: Reader) => boolean, now: number): void {
		for (const [key, reader] of this.readers) {
			if (isGone(reader)) {
				this.readers.delete(key);
			}
		}

		if (this.readers.size === 0) {
			this.unreadSince ??= now;
		}
	}

	private deliver(reader: Reader, sequence: number, part: AnswerPart): void {
		reader.send({
			...part, id: reader.id, attempt: reader.attempt, sequence,
		});
	}
}
