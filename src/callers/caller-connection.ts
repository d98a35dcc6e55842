import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {type Problem} from '../requests/problem.js';
import {cutAnswer} from './cut-answer.js';

/** A request on a connection, from its head until its answer has been written. */
type OpenRequest = {
	/** Serves the request; `finish` must be called at the end of its answer. */
	readonly serve: () => void;
	/** Called when the connection closes before the request is served: it has reached no target. */
	readonly drop: () => void;
	/** The request, whose body may still arrive. */
	readonly incoming?: IncomingMessage;
	/** The response; undefined for a request that Node has not parsed as one. */
	readonly response?: ServerResponse | undefined;
	/** Whether no later request may be accepted. */
	readonly isLast?: boolean;
};

/**
 * Time for which a connection is still read after its last answer, milliseconds. A close with unread bytes resets the connection, and so
 * does a write of the caller after it; what the caller has not received by then of its answers would be lost.
 */
const lingerMs = 1000;
/** Requests that may wait on a connection; a caller that has written more gets the answers to these, and the connection closes. */
const maximumWaiting = 100;

/**
 * The requests on one connection of a caller. They are served one after the other, since whatever cuts an answer takes those of all
 * later requests with it: these must not have reached a target yet.
 */
export class CallerConnection {
	/** Requests without a complete answer, in order; the first is being served. */
	private readonly open: OpenRequest[] = [];
	/** The request that arrived last. */
	private latest: IncomingMessage | undefined;
	private isEnding = false;
	private isClosing = false;
	private isDiscarding = false;
	private readonly input = new AbortController();
	/** Bytes that had been read when the last request ended. */
	private readBytes = 0;

	constructor(private readonly socket: Socket) {
		socket.once('close', () => {
			this.dropWaiting();
		});
		// Node closes a connection in this way after an answer that says so.
		socket.destroySoon = () => {
			this.close();
		};
	}

	/** Aborted with a problem when nothing more can be read. */
	get inputFailure(): AbortSignal {
		return this.input.signal;
	}

	/** Whether no request is open, and none has been received in part. */
	get isIdle(): boolean {
		return this.open.length === 0 && this.receivedBytes === 0;
	}

	/** Whether the body of the latest request is still arriving. */
	get isReceiving(): boolean {
		return this.latest?.complete === false;
	}

	/** Whether the body of the request being served is still arriving. */
	get isReceivingFirst(): boolean {
		return this.open[0]?.incoming?.complete === false;
	}

	/** Bytes written to the caller that the system has not taken yet. */
	get unsentBytes(): number {
		// Node counts a write as a whole until the last byte is taken; the queue of the handle shrinks with each part.
		const {_handle: handle} = this.socket as {_handle?: {readonly writeQueueSize?: number} | null};
		return this.socket.writableLength === 0 ? 0 : (handle?.writeQueueSize ?? 0) + this.socket.writableLength;
	}

	/** Whether nothing more is parsed. */
	get isOver(): boolean {
		return this.isDiscarding || this.socket.destroyed;
	}

	/** Whether a request is open. */
	get hasOpen(): boolean {
		return this.open.length > 0;
	}

	/** Whether the connection closes after the present answer. */
	get isAtLast(): boolean {
		return this.isEnding && !this.hasWaiting;
	}

	/** Bytes that have been read since the last request ended. */
	get receivedBytes(): number {
		return this.socket.bytesRead - this.readBytes;
	}

	/** Whether requests wait until the one being served has its answer. */
	get hasWaiting(): boolean {
		return this.open.length > 1;
	}

	/** Adds a request, which is served when the earlier ones have their answers; false if the connection closes before its turn. */
	add(request: OpenRequest): boolean {
		// All later ones must be dropped as well: answers are matched to requests by their order.
		this.isEnding ||= this.open.length > maximumWaiting;
		// After an answer to a request whose body was not read whole, Node closes the connection, on which more may arrive meanwhile.
		if (this.isEnding || !this.socket.writable) {
			return false;
		}

		this.isEnding = request.isLast ?? false;
		this.latest = request.incoming;
		this.open.push(request);
		if (this.open.length === 1) {
			request.serve();
		}

		return true;
	}

	/** Ends the request being served, and begins the next one unless its answer could not be written any more. */
	finish(): void {
		if (!this.socket.writable) {
			this.dropWaiting();
		}

		this.open.shift();
		this.readBytes = this.socket.bytesRead;
		if (this.open.length > 0) {
			this.open[0].serve();
		} else if (this.isEnding) {
			this.close();
		}
	}

	/** Closes the connection at once, within an answer if there is one. */
	destroy(): void {
		const response = this.open[0]?.response;
		if (response) {
			cutAnswer(response);
		}

		this.socket.destroy();
	}

	/** Accepts no more requests, and closes the connection after the answers to those that are open. */
	end(): void {
		this.isEnding = true;
		if (this.open.length === 0) {
			this.close();
		}
	}

	/** Reads nothing more: the open requests are answered, one whose body is still arriving with the problem. */
	failInput(problem: Problem): void {
		this.input.abort(problem);
		this.end();
		this.discardInput();
	}

	/** Drops the requests that wait, and reads nothing more; the connection closes after the present answer. */
	dropWaitingRequests(): void {
		this.isEnding = true;
		this.dropWaiting();
		this.discardInput();
	}

	/** Parses nothing more once no request can follow. To be called after each piece of input. */
	discardUnwanted(): void {
		if (this.isEnding && !this.isReceiving) {
			this.discardInput();
		}
	}

	/**
	 * Drops what arrives unparsed: Node keeps parsed requests until those before them are answered, and each costs far more than its bytes.
	 * The connection is read on, so that its end is noticed and its close is no reset.
	 */
	discardInput(): void {
		if (this.isDiscarding) {
			return;
		}

		this.isDiscarding = true;
		this.socket.removeAllListeners('data');
		this.socket.on('data', () => undefined);
		this.socket.resume();
	}

	/** Notes that the connection takes more of the present answer, where Node does not. */
	resumeAnswer(): void {
		this.open[0]?.response?.emit('drain');
	}

	private dropWaiting(): void {
		for (const {drop} of this.open.splice(1)) {
			drop();
		}
	}

	/* Tells the caller that no more follows, and reads what it still sends until it closes the connection as well, or the time is over. */
	private close(): void {
		if (this.isClosing) {
			return;
		}

		this.isClosing = true;
		this.discardInput();
		this.socket.once('finish', () => {
			this.linger();
		});
		this.socket.end();
	}

	private linger(): void {
		const timer = setTimeout(() => {
			this.socket.destroy();
		}, lingerMs);
		this.socket.once('close', () => {
			clearTimeout(timer);
		});
	}
}
