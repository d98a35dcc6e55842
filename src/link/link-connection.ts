import process from 'node:process';
import {type Buffer} from 'node:buffer';
import {type TLSSocket} from 'node:tls';
import {encodeFrame} from './encode-frame.js';
import {FrameDecoder} from './frame-decoder.js';
import {isControlMessage} from './is-control-message.js';
import {LinkError} from './link-error.js';
import {LinkMessage} from './link-message.js';
import {type LinkMeter} from './link-meter.js';

/** One connection to another process: owns the socket, and encodes, decodes and validates messages. */
export class LinkConnection {
	private readonly decoder: FrameDecoder;
	private readonly closeHandlers: Array<(error: LinkError | undefined) => void> = [];
	private messageHandler: ((message: LinkMessage) => void) | undefined;
	private failure: LinkError | undefined;
	private isCorked = false;
	private isUsable = true;

	/**
	 * @param socket - an established TLS socket; the link owns it from here
	 * @param maximumFrameBytes - largest frame accepted
	 * @param meter - called for each frame sent or received
	 */
	constructor(private readonly socket: TLSSocket, maximumFrameBytes: number, private readonly meter: LinkMeter) {
		this.decoder = new FrameDecoder(maximumFrameBytes);
		socket.setNoDelay(true);
		socket.on('data', (chunk: Buffer) => {
			this.receive(chunk);
		});
		socket.on('error', (error: Error) => {
			this.failure ??= new LinkError('socket', error.message);
		});
		socket.on('close', () => {
			this.noteClosed();
		});
	}

	/** Whether messages can still be sent. */
	get isOpen(): boolean {
		return this.isUsable;
	}

	/** Bytes that the peer has not taken yet. */
	get pendingBytes(): number {
		return this.socket.writableLength;
	}

	/** Sets the handler of messages; there is only one. */
	onMessage(handler: (message: LinkMessage) => void): void {
		this.messageHandler = handler;
	}

	/** Adds a handler that is called once when the connection ends; the error is undefined after an orderly close. */
	onClose(handler: (error: LinkError | undefined) => void): void {
		this.closeHandlers.push(handler);
	}

	/**
	 * Sends a message. Messages sent in the same turn of the event loop are written together.
	 *
	 * @returns whether the message was handed to the socket; false means that it was certainly not sent
	 */
	send(message: LinkMessage): boolean {
		if (!this.isUsable || this.socket.destroyed) {
			return false;
		}

		this.cork();
		const frame = encodeFrame(message);
		this.meter('sent', isControlMessage(message), frame.length);
		this.socket.write(frame);
		return true;
	}

	/** Closes the connection after pending messages have been written. */
	close(): void {
		this.socket.end();
	}

	/** Closes the connection at once. */
	destroy(): void {
		this.socket.destroy();
		this.noteClosed();
	}

	private cork(): void {
		if (this.isCorked) {
			return;
		}

		this.isCorked = true;
		this.socket.cork();
		process.nextTick(() => {
			this.isCorked = false;
			this.socket.uncork();
		});
	}

	private receive(chunk: Buffer): void {
		try {
			for (const frame of this.decoder.push(chunk)) {
				this.dispatch(frame.item, frame.bytes);
			}
		} catch (error) {
			this.failure = error instanceof LinkError ? error : new LinkError('malformed', String(error));
			this.destroy();
		}
	}

	private dispatch(item: unknown, bytes: number): void {
		const parsed = LinkMessage.safeParse(item);
		if (!parsed.success) {
			const [issue] = parsed.error.issues;
			throw new LinkError('malformed', `message does not match the schema at "${issue.path.join('.')}": ${issue.message}`);
		}

		this.meter('received', isControlMessage(parsed.data), bytes);
		this.messageHandler?.(parsed.data);
	}

	private noteClosed(): void {
		if (!this.isUsable) {
			return;
		}

		this.isUsable = false;
		for (const handler of this.closeHandlers) {
			handler(this.failure);
		}
	}
}
