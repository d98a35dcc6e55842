import {type Buffer} from 'node:buffer';
import {dropHopHeaders} from './drop-hop-headers.js';
import {EventSplitter} from './event-splitter.js';
import {type ForwardExchange} from './forward-exchange.js';
import {type RawHeaders} from './raw-headers.js';

const none: ReadonlySet<string> = new Set();

/**
 * Relays a stream to one caller, possibly from several targets in turn. The caller gets complete events only, each id
 * once and in order, under the headers of the first target.
 */
export class StreamDelivery {
	private splitter = new EventSplitter();
	private lastId: number | undefined;
	private head: {readonly status: number; readonly headers: RawHeaders} | undefined;

	constructor(private readonly exchange: ForwardExchange) {
		this.lastId = exchange.metadata.lastEventId;
	}

	/** Whether the head of an answer has been sent to the caller. */
	get hasBegun(): boolean {
		return this.exchange.response.headersSent;
	}

	/** Id of the last event sent to the caller; undefined when there is none. */
	get lastEventId(): number | undefined {
		return this.lastId;
	}

	/** Starts to relay the answer of a target; an incomplete event of the previous target is dropped. */
	start(status: number, headers: RawHeaders): void {
		this.head ??= {status, headers};
		this.splitter = new EventSplitter();
	}

	/**
	 * Adds bytes of the answer and relays the complete events.
	 *
	 * @returns false when the caller's connection is congested
	 */
	push(chunk: Buffer): boolean {
		let isFlowing = true;
		for (const event of this.splitter.push(chunk)) {
			// A target that resumes from an earlier event repeats events that the caller has.
			if (event.id !== undefined && this.lastId !== undefined && event.id <= this.lastId) {
				continue;
			}

			this.lastId = event.id ?? this.lastId;
			isFlowing = this.write(event.bytes);
		}

		return isFlowing;
	}

	/** Ends the answer; returns false when the last event is incomplete, so that the answer is not ended. */
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
