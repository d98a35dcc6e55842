import {type Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {type MemoryAccount} from '../memory/memory-account.js';
import {type MemoryBudget} from '../memory/memory-budget.js';
import {type MemoryPart} from '../memory/memory-part.js';
import {type CallerConnection} from './caller-connection.js';
import {makeMemoryProblem} from './make-memory-problem.js';
import {type ReleaseKind} from './release-kind.js';

type MemoryOptions = {
	readonly connection: CallerConnection;
	readonly socket: Socket;
	readonly budget: MemoryBudget;
	/** The present time, milliseconds. */
	readonly clock: () => number;
	/** Called when the connection gives up memory because it is short. */
	readonly onRelease: (kind: ReleaseKind) => void;
};

/** Memory of a connection without requests: socket, parser and their state, bytes. */
const connectionBytes = 16 * 1024;
/** Memory of a request that was dropped, bytes; Node keeps it until its connection closes. */
const droppedBytes = 6 * 1024;
/** Memory of each line of a head that is not complete, beside its characters, bytes. */
const lineBytes = 128;
const lineFeed = 0x0A;
/** An answer of which the caller has taken nothing for this time may be given up when memory is short, milliseconds. */
const stallMs = 1000;
/** Answer to a head that is given up. */
const headRefusal = 'HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n';
/** Time in which a caller gets that answer before its connection is closed, milliseconds. */
const refusalMs = 1000;

const countLines = (bytes: Buffer): number => {
	let count = 0;
	for (let position = bytes.indexOf(lineFeed); position !== -1; position = bytes.indexOf(lineFeed, position + 1)) {
		count++;
	}

	return count;
};

const refuseHead = (socket: Socket): void => {
	const timer = setTimeout(() => {
		socket.destroy();
	}, refusalMs);
	socket.end(headRefusal, () => {
		clearTimeout(timer);
		socket.destroy();
	});
};

/** Counts the memory that one connection of a caller makes the process hold, and gives it up when the budget is short. */
export class CallerMemory {
	private readonly account: MemoryAccount;
	/** When the present request was begun, or the last one ended, milliseconds. */
	private since: number;
	/** Whether the present request has been refused, and the waiting ones dropped, since memory was short. */
	private isRefused = false;
	private hasDropped = false;
	/** Whether a request is being served, and whether the connection has closed. A request that must not run twice goes on without its caller. */
	private isServing = false;
	private isGone = false;
	/** When the first of the waiting requests arrived, milliseconds. */
	private waitingSince = 0;
	/** Bytes of the answer that the caller had not taken, and since when, milliseconds. */
	private unsentBytes = 0;
	private stalledSince = 0;

	constructor(private readonly options: MemoryOptions) {
		this.since = options.clock();
		this.account = options.budget.open({
			getReleasable: now => this.getReleasable(now),
			release: now => {
				this.release(now);
			},
		});
		if (!this.resize('connection', connectionBytes)) {
			this.release(this.since);
		}
	}

	/** When the present request was begun, or the last one ended, milliseconds. */
	get idleSince(): number {
		return this.since;
	}

	/**
	 * Counts a piece of input as part of a head or trailer, to which it adds unless the parser has found something in it that ends one.
	 *
	 * @param hasProgress - whether a head, or a part of a body, was found in the piece; another head may have begun after it
	 */
	noteRead(piece: Buffer, hasProgress: boolean): void {
		const before = hasProgress ? 0 : this.account.get('head');
		if (!this.resize('head', before + piece.length + (lineBytes * countLines(piece)))) {
			this.release(this.options.clock());
		}
	}

	/**
	 * Counts what a request holds beside body and answer now that it is being served.
	 *
	 * @param waitingBytes - what was counted for it while it waited
	 * @returns false when there is no room
	 */
	noteServed(bytes: number, waitingBytes: number): boolean {
		this.since = this.options.clock();
		this.isRefused = false;
		this.isServing = true;
		this.grow('waiting', -waitingBytes);
		return this.resize('request', bytes);
	}

	/** Counts input that has been read and is not parsed yet, bytes; without room for it, the connection gives up what it can and is not parsed on. */
	holdInput(bytes: number): void {
		if (this.account.get('input') === bytes || this.resize('input', bytes)) {
			return;
		}

		if (this.findKind(this.options.clock()) === undefined) {
			this.options.connection.dropWaitingRequests();
		} else {
			this.release(this.options.clock());
		}
	}

	/** Counts what Node keeps of a request that is not served, in place of `waitingBytes`; the connection closes if there is no room. */
	noteDropped(waitingBytes: number): void {
		if (!this.grow('waiting', droppedBytes - waitingBytes)) {
			this.account.close();
			this.options.connection.destroy();
		}
	}

	/** Changes what a part holds by a number of bytes; false, with nothing changed, when there is no room. */
	grow(part: MemoryPart, bytes: number): boolean {
		if (part === 'waiting' && this.account.get(part) === 0) {
			this.waitingSince = this.options.clock();
		}

		return this.resize(part, Math.max(0, this.account.get(part) + bytes));
	}

	/** Notes that the present request has its answer, or that nothing runs for it any more. */
	noteEnd(): void {
		this.since = this.options.clock();
		this.isServing = false;
		if (this.isGone) {
			this.account.close();
			return;
		}

		for (const part of ['request', 'body', 'answer'] as const) {
			this.resize(part, 0);
		}
	}

	/** How long the caller has taken nothing of an answer, milliseconds; 0 while none waits for it. */
	getStallMs(now: number): number {
		return this.unsentBytes > 0 ? now - this.stalledSince : 0;
	}

	/** Notes how much the caller has taken of its answer; to be called at short intervals. */
	checkProgress(now: number): void {
		const {unsentBytes} = this.options.connection;
		if (unsentBytes !== this.unsentBytes || unsentBytes === 0) {
			this.unsentBytes = unsentBytes;
			this.stalledSince = now;
		}
	}

	/** Notes that the connection has closed: everything is freed once no request runs for it. */
	close(): void {
		this.isGone = true;
		if (!this.isServing) {
			this.account.close();
		}
	}

	/** Gives up what can be given up, because memory or descriptors are short. */
	release(now: number): void {
		const kind = this.findKind(now);
		if (kind === undefined) {
			return;
		}

		this.options.onRelease(kind);
		const {connection, socket} = this.options;
		switch (kind) {
			case 'head': {
				this.account.close();
				connection.discardInput();
				refuseHead(socket);
				break;
			}

			case 'body': {
				this.isRefused = true;
				connection.failInput(makeMemoryProblem());
				this.resize('body', 0);
				break;
			}

			case 'waiting': {
				// Node keeps what is left of the requests until the connection closes.
				if (this.hasDropped) {
					this.account.close();
					connection.destroy();
				}

				this.hasDropped = true;
				connection.dropWaitingRequests();
				break;
			}

			default: {
				this.account.close();
				connection.destroy();
			}
		}
	}

	private resize(part: MemoryPart, bytes: number): boolean {
		return this.account.resize(part, bytes, this.options.clock());
	}

	private getReleasable(now: number): {bytes: number; since: number} {
		switch (this.findKind(now)) {
			case undefined: {
				return {bytes: 0, since: now};
			}

			case 'waiting': {
				return {bytes: this.account.get('waiting'), since: this.waitingSince};
			}

			case 'answer': {
				return {bytes: this.account.bytes, since: this.stalledSince};
			}

			default: {
				return {bytes: this.account.bytes, since: this.since};
			}
		}
	}

	/* What can be given up: nothing of a request that has arrived whole and may be at a target, but an answer that is not read. */
	private findKind(now: number): ReleaseKind | undefined {
		const {connection} = this.options;
		if (this.isGone) {
			return undefined;
		}

		if (!connection.hasOpen) {
			return connection.isIdle ? 'idle' : 'head';
		}

		if (connection.isReceivingFirst && !this.isRefused) {
			return 'body';
		}

		this.checkProgress(now);
		if (this.getStallMs(now) >= stallMs) {
			return 'answer';
		}

		return this.account.get('waiting') > 0 ? 'waiting' : undefined;
	}
}
