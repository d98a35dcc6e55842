import {type MessageOf} from '../link/message-of.js';
import {type MemoryAccount} from '../memory/memory-account.js';
import {type MemoryBudget} from '../memory/memory-budget.js';
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
	/** Bytes of the answer that are buffered at most. */
	readonly replayBytes: number;
	/** Limits what all requests make the process hold. */
	readonly budget: MemoryBudget;
	/** Milliseconds since the epoch. */
	readonly arrivedAt: number;
};

/** Memory of a request and its record beside path, headers and body, bytes. */
const requestBytes = 4096;

/** Parts of the largest size that fit into the buffered bytes. */
const partsInWindow = 16;

/** One request at its target process: its state, its answer so far, and the calls that read the answer. */
export class Execution {
	readonly arrivedAt: number;
	state: 'waiting' | 'running' | 'done' = 'waiting';
	/** Milliseconds since the epoch; 0 before the start. */
	startedAt = 0;
	/** Milliseconds since the epoch; 0 before the end. */
	endedAt = 0;
	/** Aborts the call to the engine. */
	readonly abort = new AbortController();
	/** When the last reader's link was lost, milliseconds since the epoch; undefined while there is a reader. */
	unreadSince: number | undefined;

	private ownRequest: MessageOf<'request'>;
	private readonly replayBytes: number;
	private readonly buffer: AnswerBuffer;
	private readonly account: MemoryAccount;
	/** Whether the budget had no room for the last part of the answer. */
	private isShort = false;
	private readonly readers = new Map<string, Reader>();
	private roomListener: (() => void) | undefined;

	constructor(options: ExecutionOptions) {
		this.ownRequest = options.request;
		this.replayBytes = options.replayBytes;
		this.arrivedAt = options.arrivedAt;
		this.buffer = new AnswerBuffer(options.replayBytes, options.request.once !== undefined);
		this.account = options.budget.open({
			getReleasable: () => ({bytes: this.isReplay ? this.account.bytes : 0, since: this.endedAt}),
			release: () => {
				this.buffer.clear();
				this.account.resize('answer', 0, this.endedAt);
			},
		});
	}

	/** The request; without path, headers and body once it has ended. */
	get request(): MessageOf<'request'> {
		return this.ownRequest;
	}

	/* Whether the answer is kept only for later copies of the request. */
	private get isReplay(): boolean {
		return this.state === 'done' && this.isDelivered;
	}

	/** Largest part of the answer, bytes: readers acknowledge every eighth part, and the engine waits for them once `replayBytes` are open. */
	get maximumPartBytes(): number {
		return Math.floor(this.replayBytes / partsInWindow);
	}

	/** Whether the answer has ended, complete or broken off. */
	get isEnded(): boolean {
		return this.buffer.isEnded;
	}

	/** Whether the answer has ended and every part of it is acknowledged. */
	get isDelivered(): boolean {
		return this.buffer.isEnded && this.buffer.isAcknowledged;
	}

	/** Counts the request's own memory, bytes; false when there is no room for it. */
	reserve(now: number): boolean {
		const {path, headers, body} = this.ownRequest;
		const headerBytes = Object.entries(headers).flat().reduce((sum, text) => sum + text.length, 0);
		return this.account.resize('body', requestBytes + path.length + headerBytes + body.buffer.byteLength, now);
	}

	/** Frees what is needed only while the request waits or runs; `now` in milliseconds. */
	end(now: number): void {
		this.state = 'done';
		this.endedAt = now;
		this.ownRequest = {
			...this.ownRequest, path: '', headers: {}, body: new Uint8Array(),
		};
		this.account.resize('body', requestBytes, now);
	}

	/** Frees everything. */
	close(): void {
		this.account.close();
	}

	/** Adds a part of the answer and sends it to each reader; `now` in milliseconds. */
	addPart(part: AnswerPart, now: number): void {
		if (this.isEnded) {
			return;
		}

		const sequence = this.buffer.add(part);
		this.countAnswer(now);
		for (const reader of this.readers.values()) {
			this.deliver(reader, sequence, part);
		}
	}

	/** Waits until enough parts are acknowledged to read on from the engine, or until the call is aborted. */
	async waitForRoom(): Promise<void> {
		if (this.hasRoom || this.abort.signal.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			this.roomListener = resolve;
			this.abort.signal.addEventListener('abort', () => {
				resolve();
			}, {once: true});
		});
	}

	/** Notes what a reader has received. With several readers, the fastest one decides how far the engine may go on. */
	acknowledge(sequence: number, now: number): void {
		this.buffer.acknowledge(sequence);
		this.countAnswer(now);
		if (this.hasRoom) {
			this.roomListener?.();
			this.roomListener = undefined;
		}
	}

	/**
	 * Adds a reader and sends it the answer so far, from `sequence` on.
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

	/** Removes the readers that `isGone` selects, such as those of a closed link. */
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

	/* Without room in the budget, the engine waits until the readers have everything. */
	private get hasRoom(): boolean {
		return this.buffer.hasRoom && (!this.isShort || this.buffer.isAcknowledged);
	}

	private countAnswer(now: number): void {
		this.isShort = !this.account.resize('answer', this.buffer.heldBytes, now);
	}

	private deliver(reader: Reader, sequence: number, part: AnswerPart): void {
		reader.send({
			...part, id: reader.id, attempt: reader.attempt, sequence,
		});
	}
}
