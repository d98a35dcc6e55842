import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {Client, type Dispatcher} from 'undici';
import {type Target} from '../fleet/target.js';
import {confirmEnd} from '../http/confirm-end.js';
import {markReset} from '../http/mark-reset.js';
import {ExcessError} from './excess-error.js';
import {FramingMeter} from './framing-meter.js';
import {indexHeaders} from './index-headers.js';
import {type RawHeaders} from './raw-headers.js';

type OutgoingRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers: RawHeaders;
	readonly body: Uint8Array<ArrayBuffer>;
};

/** Receives an answer as it arrives. Exactly one of `onEnd` and `onError` is called, last; with an `ExcessError` if the target has sent too much. */
type Receiver = {
	onHead(status: number, headers: string[]): void;
	/** @returns false to pause the answer until `resume` is called */
	onData(chunk: Buffer): boolean;
	onEnd(): void;
	onError(error: Error): void;
};

/**
 * Longest wait for a connection to open, milliseconds. Within a region it takes a few, and a lost packet is retransmitted
 * only after a second: another target answers sooner.
 */
const connectTimeoutMs = 200;
/** An idle connection is closed after this time unless the target states another timeout, milliseconds. */
const idleMs = 2000;
/** A connection is closed this long before the target would close it, milliseconds. */
const idleMarginMs = 500;
/**
 * After this many bytes of an answer the rest waits for the next turn of the event loop, since other requests would wait for as long as its
 * target sends faster than it is read.
 */
const turnBytes = 64 * 1024;
/** Lowest status of an answer that is not an interim one. */
const minimumFinalStatus = 200;
/** Limit of the HTTP client's parser on the fields of a head or trailer, bytes; a head that is too large is noticed before it is parsed. */
const parserHeaderBytes = 256 * 1024;

/* Undici passes raw headers as bytes. */
const toStrings = (headers: readonly unknown[]): string[] => headers.map(item => Buffer.isBuffer(item) ? item.toString('latin1') : String(item));

/** One HTTP/1.1 connection to a target, for one request at a time. */
export class TargetConnection {
	private readonly client: Client;
	private socket: Socket | undefined;
	private controller: Dispatcher.DispatchController | undefined;
	private hasSocketError = false;
	/** Whether the target has closed its side, and everything it sent before was read. */
	private hasEnded = false;
	private framing = new FramingMeter(0);
	private requests = 0;
	/** Whether the receiver has paused the answer. */
	private isPaused = false;
	/** Bytes of answers since one last waited for the next turn. */
	private bytesInTurn = 0;
	private isTurnOver = false;

	/**
	 * @param target - the target to connect to
	 * @param onSocketCount - called with 1 when the socket is opened, and with -1 when it has closed
	 */
	constructor(target: Target, private readonly onSocketCount: (change: 1 | -1) => void = () => undefined) {
		this.client = new Client(`http://${target.address}:${target.port}`, {
			pipelining: 1,
			headersTimeout: 0,
			bodyTimeout: 0,
			maxHeaderSize: parserHeaderBytes,
			keepAliveTimeout: idleMs,
			keepAliveTimeoutThreshold: idleMarginMs,
			connect: (_options, callback) => {
				this.open(target, callback);
			},
		});
	}

	/** Whether the connection has ever been open; if not, nothing has been sent. */
	get hasOpened(): boolean {
		return this.socket !== undefined;
	}

	/** Whether another request was sent before the present one. */
	get isReused(): boolean {
		return this.requests > 1;
	}

	/** Whether another request can be sent on the connection. */
	get isReusable(): boolean {
		return this.socket !== undefined && !this.socket.destroyed && !this.hasSocketError && this.socket.writableLength === 0 && !this.client.destroyed;
	}

	/** Sends a request; the receiver is called with the answer. */
	send(request: OutgoingRequest, receiver: Receiver): void {
		let isFramed = true;
		this.requests++;
		this.isPaused = false;
		this.framing = new FramingMeter(this.socket?.bytesRead ?? 0);
		this.client.dispatch({
			method: request.method,
			path: request.path,
			headers: [...request.headers],
			// For some methods, undici treats an empty body as one of unknown length.
			body: request.body.length > 0 ? request.body : undefined,
		}, {
			onRequestStart: controller => {
				this.controller = controller;
			},
			onResponseStart: (controller, status) => {
				if (status >= minimumFinalStatus) {
					this.framing.noteHead();
				}

				const {rawHeaders} = controller;
				const headers = Array.isArray(rawHeaders) ? toStrings(rawHeaders) : [];
				const index = indexHeaders(headers);
				isFramed = index.has('content-length') || index.has('transfer-encoding');
				receiver.onHead(status, headers);
			},
			onResponseData: (controller, chunk) => {
				this.framing.noteBody(chunk.length);
				this.isPaused = !receiver.onData(chunk);
				this.bytesInTurn += chunk.length;
				if (!this.hasEnded) {
					this.pauseWhereDue(controller);
				}
			},
			onResponseEnd: () => {
				if (isFramed) {
					receiver.onEnd();
				} else {
					this.confirmEnd(receiver);
				}
			},
			onResponseError(_controller, error) {
				receiver.onError(error);
			},
		});
	}

	/** Resumes an answer that the receiver has paused. */
	resume(): void {
		this.isPaused = false;
		if (!this.isTurnOver) {
			this.controller?.resume();
		}
	}

	/** Closes the connection at once; the target then aborts the request that it runs for it. */
	destroy(): void {
		void this.client.destroy();
		this.socket?.destroy();
	}

	private pauseWhereDue(controller: Dispatcher.DispatchController): void {
		this.isTurnOver ||= this.bytesInTurn >= turnBytes;
		if (this.isPaused || this.isTurnOver) {
			controller.pause();
		}

		if (this.bytesInTurn >= turnBytes) {
			this.bytesInTurn = 0;
			setImmediate(() => {
				this.isTurnOver = false;
				if (!this.isPaused) {
					controller.resume();
				}
			});
		}
	}

	/* An answer without a length ends with its connection. undici treats a reset as such an end. */
	private confirmEnd(receiver: Receiver): void {
		if (this.hasSocketError || !this.socket) {
			receiver.onError(new Error('connection reset within an answer'));
			return;
		}

		confirmEnd(this.socket, error => {
			if (error) {
				receiver.onError(error);
			} else {
				receiver.onEnd();
			}
		});
	}

	/*
	 * The HTTP client asserts that an answer without a length is not paused when its connection ends, which would end the process. These
	 * listeners are added before its own.
	 */
	private prepareEnd(socket: Socket): void {
		socket.on('end', () => {
			this.hasEnded = true;
			this.controller?.resume();
		});
		socket.on('error', () => {
			this.hasSocketError = true;
		});
		markReset(socket);
	}

	private open(target: Target, callback: (...result: [Error, null] | [null, Socket]) => void): void {
		const socket = connect({host: target.address, port: target.port, noDelay: true});
		this.onSocketCount(1);
		socket.once('close', () => {
			this.onSocketCount(-1);
		});
		const timer = setTimeout(() => {
			socket.destroy(new Error(`no connection within ${connectTimeoutMs} ms`));
		}, connectTimeoutMs);
		const fail = (error: Error): void => {
			clearTimeout(timer);
			callback(error, null);
		};

		socket.once('error', fail);
		socket.once('connect', () => {
			clearTimeout(timer);
			socket.off('error', fail);
			this.prepareEnd(socket);
			socket.on('readable', () => {
				if (this.framing.isExceeded(socket.bytesRead)) {
					socket.destroy(new ExcessError('the target sends bytes without end that belong to no body'));
				}
			});
			this.socket = socket;
			callback(null, socket);
		});
	}
}
