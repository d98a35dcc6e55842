import {type Buffer} from 'node:buffer';
import {dropHopHeaders} from './drop-hop-headers.js';
import {EventSplitter} from './event-splitter.js';
import {type ForwardExchange} from './forward-exchange.js';
import {type RawHeaders} from './raw-headers.js';

const none: ReadonlySet<string> = new Set();

/**
 * A stream on its way to one caller, possibly from several targets in turn. The caller gets whole events only, each
 * id once and in order, under the headers of the first target.
 */
export class StreamDelivery {
	private splitter = new EventSplitter();
	private lastId: number | undefined;
	private head: {readonly status: number; readonly headers: RawHeaders} | undefined;

	constructor(private readonly exchange: ForwardExchange) {
		this.lastId = exchange.metadata.lastEventId;
	}

	/** Whether the caller has the beginning of an answer. */
	get hasBegun(): boolean {
		return this.exchange.response.headersSent;
	}

	/** Id of the last event that the caller has. */
	get lastEventId(): number | undefined {
		return this.lastId;
	}

	/** Begins to take the answer of a target; what the one before left unfinished is dropped. */
	start(status: number, headers: RawHeaders): void {
		this.head ??= {status, headers};
		this.splitter = new EventSplitter();
	}

	/**
	 * Takes bytes of the answer and passes whole events on.
	 *
	 * @returns whether the caller can take more now
	 */
	push(chunk: Buffer): boolean {
		let isFlowing = true;
		for (const event of this.splitter.push(chunk)) {
			// A target that goes on from an earlier event repeats what the caller has.
			if (event.id !== undefined && this.lastId !== undefined && event.id <= this.lastId) {
				continue;
			}

			this.lastId = event.id ?? this.lastId;
			isFlowing = this.write(event.bytes);
		}

		return isFlowing;
	}

	/** Ends the answer; gives false when an event is unfinished, so that the answer is not whole. */
	finish(): boolean {
		if (this.splitter.pendingBytes > 0) {
			return false;
		}

		this.begin();
		this.exchange.response.end();
		return true;
	}

	private write(bytes: Buffer): boolean {
		this.begin();
		return this.exchange.response.write(bytes);
	}

	private begin(): void {
		const {response} = this.exchange;
		if (response.headersSent || !this.head) {
			return;
		}

		response.shouldKeepAlive &&= this.exchange.mayKeepAlive();
		response.writeHead(this.head.status, dropHopHeaders(this.head.headers, none));
	}
}
