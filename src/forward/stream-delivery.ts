import {Buffer} from 'node:buffer';
import {dropHopHeaders} from './drop-hop-headers.js';
import {EventSplitter} from './event-splitter.js';
import {type ForwardExchange} from './forward-exchange.js';
import {type RawHeaders} from './raw-headers.js';

const none: ReadonlySet<string> = new Set();

/** Limit on one event of a stream, bytes. */
const maximumEventBytes = 1024 * 1024;
/**
 * Limit on events without a new id that arrive in a row on a resumable stream, bytes, beyond as many as events with ids
 * were sent to the caller: a target may repeat those, and may send some others to keep the connection alive.
 */
const maximumUnnumberedBytes = 256 * 1024;

/**
 * Relays a stream to one caller, possibly from several targets in turn. The caller gets complete events only, each id
 * once and in order, under the headers of the first target.
 */
export class StreamDelivery {
	private splitter = new EventSplitter();
	private lastId: number | undefined;
	private head: {readonly status: number; readonly headers: RawHeaders} | undefined;
	/** Bytes of the events with ids that were sent to the caller. */
	private numberedBytes = 0;
	/** Bytes of the events since the last one with a new id. */
	private unnumberedBytes = 0;
	/** On a resumable stream, events without an id since the last one with a new id: another target would not repeat these. */
	private held: Buffer[] = [];

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

	/** Bytes kept of events that are incomplete, or have no id. */
	get pendingBytes(): number {
		return this.splitter.pendingBytes + this.held.reduce((bytes, {length}) => bytes + length, 0);
	}

	/** Which limit the present target has exceeded; undefined for none. */
	get excess(): string | undefined {
		if (this.splitter.pendingBytes > maximumEventBytes) {
			return `an event has more than ${maximumEventBytes} bytes`;
		}

		return this.exchange.route?.isResumable && this.unnumberedBytes > maximumUnnumberedBytes + this.numberedBytes
			? `the stream has no event with a new id in ${this.unnumberedBytes} bytes`
			: undefined;
	}

	/** Starts to relay the answer of a target; an incomplete event of the previous target is dropped. */
	start(status: number, headers: RawHeaders): void {
		this.head ??= {status, headers};
		this.splitter = new EventSplitter();
		this.unnumberedBytes = 0;
		this.held = [];
	}

	/**
	 * Adds bytes of the answer and relays the complete events.
	 *
	 * @returns false when the caller's connection is congested
	 */
	push(chunk: Buffer): boolean {
		const accepted: Buffer[] = [];
		for (const {id, bytes} of this.splitter.push(chunk)) {
			accepted.push(...this.accept(id, bytes));
		}

		return accepted.length === 0 || this.write(accepted.length === 1 ? accepted[0] : Buffer.concat(accepted));
	}

	/** Ends the answer; returns false when the last event is incomplete, so that the answer is not ended. */
	finish(): boolean {
		if (this.splitter.pendingBytes > 0) {
			return false;
		}

		this.begin();
		this.exchange.response.end(Buffer.concat(this.held));
		return true;
	}

	/* Returns the events to relay now that one has arrived. */
	private accept(id: number | undefined, bytes: Buffer): Buffer[] {
		// A target that resumes from an earlier event repeats events that the caller has.
		const isRepeated = id !== undefined && this.lastId !== undefined && id <= this.lastId;
		if (id === undefined || isRepeated) {
			this.unnumberedBytes += bytes.length;
			return isRepeated ? this.dropHeld() : this.hold(bytes);
		}

		this.lastId = id;
		this.numberedBytes += bytes.length;
		this.unnumberedBytes = 0;
		const events = [...this.held, bytes];
		this.held = [];
		return events;
	}

	private hold(bytes: Buffer): Buffer[] {
		if (!this.exchange.route?.isResumable) {
			return [bytes];
		}

		this.held.push(bytes);
		return [];
	}

	private dropHeld(): Buffer[] {
		this.held = [];
		return [];
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
