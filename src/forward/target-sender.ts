import {type Buffer} from 'node:buffer';
import {type Target} from '../fleet/target.js';
import {ChunkList} from '../memory/chunk-list.js';
import {type AnswerMetadata} from './answer-metadata.js';
import {type ConnectionPool} from './connection-pool.js';
import {dropHopHeaders} from './drop-hop-headers.js';
import {ExcessError} from './excess-error.js';
import {type HeaderDialect} from './header-dialect.js';
import {indexHeaders} from './index-headers.js';
import {type SendOutcome} from './send-outcome.js';
import {type TargetConnection} from './target-connection.js';
import {type TargetTransport} from './target-transport.js';
import {type TransportListener} from './transport-listener.js';

type SenderOptions = TransportListener & {
	readonly pool: ConnectionPool;
	readonly dialect: HeaderDialect;
	readonly clock: () => number;
};

type SendOptions = Parameters<TargetTransport['send']>[0];

/** Answers that are not streams are buffered up to this size, bytes; larger ones are not relayed. */
const maximumAnswerBytes = 16 * 1024 * 1024;

/** Statuses of successful answers that have no body. */
const statusesWithoutBody: ReadonlySet<number> = new Set([204, 205]);

/** The body of a refusal is discarded, up to this size, so that its connection can be used again. Bytes. */
const maximumRefusalBytes = 64 * 1024;

/**
 * Longest idle time of a connection reused for a request that runs at most once, milliseconds: such a request cannot be
 * retried if the connection turns out to be lost. Opening a new one costs one round trip.
 */
const maximumIdleOnceMs = 500;

/** Codes of the errors that the client raises while it builds a request, before it writes anything. */
const unsendableCodes: ReadonlySet<string | undefined> = new Set(['UND_ERR_INVALID_ARG', 'UND_ERR_NOT_SUPPORTED']);

const isUnsendable = ({code}: NodeJS.ErrnoException): boolean => unsendableCodes.has(code);

/** How the body of an answer is handled: before the head, discarded after a refusal, buffered, or relayed as it arrives. */
type Mode = 'awaiting-head' | 'refused' | 'buffer' | 'stream';

type Failure = {
	/** Whether the other side has closed the connection. */
	readonly isCut?: boolean;
	/** Whether the target has sent more than any answer may have. */
	readonly isExcessive?: boolean;
};

/** One attempt to send a request to a target over HTTP. */
class Attempt {
	private mode: Mode = 'awaiting-head';
	private status = 0;
	private headers: string[] = [];
	/** Whether the answer is whole without a body. */
	private isEmptyAllowed = true;
	private hasBody = false;
	private readonly chunks = new ChunkList();
	private discardedBytes = 0;
	/** Bytes of the answer that are counted as held for the request. */
	private bufferedBytes = 0;
	private cause: 'busy' | 'group-down' | 'gone' = 'busy';
	private retryAfter: string | undefined;
	/** Whether the refusal names this request. */
	private isNamed = false;
	private isSettled = false;
	/** When the last part of a stream arrived, milliseconds. */
	private eventAt: number | undefined;
	/** When the target began to answer, milliseconds. */
	private answeredAt: number | undefined;
	private readonly sentAt: number;
	/** Undefined until one has been taken, and if the target's address admits none. */
	private connection: TargetConnection | undefined;
	private resolve!: (outcome: SendOutcome) => void;

	constructor(private readonly sender: SenderOptions, private readonly options: SendOptions) {
		this.sentAt = sender.clock();
	}

	async run(): Promise<SendOutcome> {
		const {exchange, signal} = this.options;
		const outcome = new Promise<SendOutcome>(resolve => {
			this.resolve = resolve;
		});
		const abort = (): void => {
			this.fail(String(signal.reason));
		};

		const resume = (): void => {
			this.connection?.resume();
		};

		signal.addEventListener('abort', abort, {once: true});
		exchange.response.on('drain', resume);
		this.start();
		try {
			return await outcome;
		} finally {
			signal.removeEventListener('abort', abort);
			exchange.response.off('drain', resume);
		}
	}

	private start(): void {
		const {exchange, target, onConnection} = this.options;
		try {
			const taken = this.sender.pool.take(target, exchange.isRetryable ? Number.POSITIVE_INFINITY : maximumIdleOnceMs);
			if (!taken) {
				this.settle({
					kind: 'not-run', reason: 'not sent: too many connections to targets are open', wasSent: false, cause: 'no-connection',
				}, false);
				return;
			}

			const {connection, aliveAt} = taken;
			this.connection = connection;
			onConnection(aliveAt);
			connection.send({
				method: exchange.incoming.method ?? 'GET',
				path: exchange.incoming.url ?? '/',
				headers: this.makeHeaders(),
				body: exchange.body,
			}, {
				onHead: (status, headers) => {
					this.handleHead(status, headers);
				},
				onData: chunk => this.handleData(chunk),
				onEnd: () => {
					this.handleEnd();
				},
				onError: error => {
					const isExcessive = error instanceof ExcessError;
					if (isUnsendable(error)) {
						this.reject(error.message);
					} else {
						this.fail(error.message, {isCut: !isExcessive, isExcessive});
					}
				},
			});
		} catch (error) {
			this.fail((error as Error).message);
		}
	}

	private makeHeaders(): string[] {
		const {exchange, target, delivery} = this.options;
		const {dialect, clock} = this.sender;
		const headers = dropHopHeaders(exchange.incoming.rawHeaders, dialect.reservedHeaders);
		const labels = dialect.makeRequestHeaders({
			targetId: target.id,
			organisation: exchange.organisation,
			remainingMs: Math.max(1, Math.floor(exchange.deadline - clock())),
			lastEventId: delivery.lastEventId,
		});
		return [...headers, ...Object.entries(labels).flat()];
	}

	private handleHead(status: number, headers: string[]): void {
		const {exchange, target, delivery} = this.options;
		if (status < 200) {
			return;
		}

		this.status = status;
		this.headers = headers;
		const index = indexHeaders(headers);
		const metadata = this.sender.dialect.readAnswer(status, index);
		this.sender.onHead(target, metadata, this.sentAt);
		const isForeign = this.isForeign(metadata);
		if (isForeign) {
			this.fail('the answer belongs to another request');
			return;
		}

		if (metadata.isNotRun) {
			this.cause = metadata.isMisdirected ? 'gone' : (metadata.isGroupDown ? 'group-down' : 'busy');
			this.retryAfter = metadata.retryAfterText;
			this.mode = 'refused';
			this.isNamed = metadata.requestId !== undefined;
			return;
		}

		this.answeredAt = this.sender.clock();
		this.noteProgress(target);
		const isSuccess = status < 300;
		if (isSuccess && (!metadata.isSigned || index.has('content-encoding'))) {
			this.fail('the answer is not the target\'s own');
			return;
		}

		const isStream = isSuccess && exchange.route?.kind === 'stream' && index.get('content-type')?.startsWith('text/event-stream');
		this.mode = isStream ? 'stream' : 'buffer';
		this.isEmptyAllowed = !isSuccess || this.mayBeEmpty(index);
		if (isStream) {
			delivery.start(status, headers);
		} else if (exchange.incoming.method !== 'HEAD' && Number(index.get('content-length') ?? 0) > maximumAnswerBytes) {
			this.fail('the answer is too large');
		}
	}

	/*
	 * Whether an answer may be that to another request: targets may send an answer twice, also a refusal. One that names no
	 * request proves that this one did not run only if the connection has carried no other request.
	 */
	private isForeign({requestId, isNotRun}: AnswerMetadata): boolean {
		const ownId = this.options.exchange.metadata.id;
		if (requestId !== undefined) {
			return requestId !== ownId;
		}

		return isNotRun ? this.connection!.isReused : ownId !== undefined;
	}

	/*
	 * An answer without a length that ends right after its head is far more often cut than meant to be empty; a target that
	 * means it can say so by a length of 0 or a status. A stream may have nothing left for a caller that has events already.
	 */
	private mayBeEmpty(index: ReadonlyMap<string, string>): boolean {
		const {exchange, delivery} = this.options;
		const isFramed = index.has('content-length') || index.has('transfer-encoding');
		return isFramed || delivery.lastEventId !== undefined || exchange.incoming.method === 'HEAD' || statusesWithoutBody.has(this.status);
	}

	private handleData(chunk: Buffer): boolean {
		if (this.isSettled) {
			return true;
		}

		if (this.mode !== 'refused') {
			this.noteProgress(this.options.target);
		}

		this.hasBody ||= chunk.length > 0;
		if (this.mode !== 'refused' && this.status < 300) {
			this.options.onAnswerPart();
		}

		if (this.mode === 'stream') {
			this.noteEvent();
			return this.relay(chunk);
		}

		if (this.mode === 'buffer') {
			this.buffer(chunk);
		} else {
			this.discardedBytes += chunk.length;
			if (this.discardedBytes > maximumRefusalBytes) {
				this.fail('the refusal is too large');
			}
		}

		return true;
	}

	private buffer(chunk: Buffer): void {
		if (this.options.exchange.disconnection.signal.aborted) {
			// A request that must not run twice goes on although nobody takes its answer.
			this.chunks.take();
			this.releaseBuffer();
		} else if (this.chunks.length + chunk.length > maximumAnswerBytes) {
			this.fail('the answer is too large', {isExcessive: true});
		} else if (this.resizeBuffer(this.chunks.length + chunk.length)) {
			this.chunks.push(chunk);
		}
	}

	/* Fails when there is no room, and nothing else can be given up. */
	private resizeBuffer(bytes: number): boolean {
		const hasRoom = this.options.exchange.memory.grow('answer', bytes - this.bufferedBytes);
		if (hasRoom) {
			this.bufferedBytes = bytes;
		} else {
			this.fail('no memory is left to buffer the answer');
		}

		return hasRoom;
	}

	private releaseBuffer(): void {
		this.options.exchange.memory.grow('answer', -this.bufferedBytes);
		this.bufferedBytes = 0;
	}

	private relay(chunk: Buffer): boolean {
		const {delivery} = this.options;
		const isFlowing = delivery.push(chunk);
		const {excess, pendingBytes} = delivery;
		if (excess === undefined) {
			this.resizeBuffer(pendingBytes + this.options.exchange.response.writableLength);
		} else {
			this.fail(excess, {isExcessive: true});
		}

		return isFlowing;
	}

	private noteEvent(): void {
		const now = this.sender.clock();
		if (this.eventAt !== undefined && !this.options.exchange.response.writableNeedDrain) {
			this.sender.onGap(this.options.target, now - this.eventAt);
		}

		this.eventAt = now;
	}

	private noteProgress(target: Target): void {
		this.sender.onProgress(target);
		this.options.onProgress();
	}

	private handleEnd(): void {
		if (!this.hasBody && !this.isEmptyAllowed) {
			this.fail('the answer ended after its head', {isCut: true});
			return;
		}

		switch (this.mode) {
			case 'refused': {
				// A copy of a refusal that names no request must not be taken for that of the next one.
				this.settle(this.makeRefusal(), this.isNamed);
				break;
			}

			case 'buffer': {
				this.settle({kind: 'answered', answer: {status: this.status, headers: this.headers, body: this.chunks.take()}}, true);
				break;
			}

			case 'stream': {
				if (this.options.delivery.finish()) {
					this.settle({kind: 'streamed'}, true);
				} else {
					this.fail('the stream ended within an event', {isCut: true});
				}

				break;
			}

			default: {
				this.fail('the connection ended without an answer', {isCut: true});
			}
		}
	}

	/* The HTTP client cannot write such a request to any target; nothing has been sent. */
	private reject(reason: string): void {
		this.settle({
			kind: 'not-run', reason, wasSent: false, cause: 'invalid',
		}, false);
	}

	private fail(reason: string, {isCut = false, isExcessive = false}: Failure = {}): void {
		// The head of a refusal proves that the request did not run, however its body ends.
		if (this.mode === 'refused') {
			this.settle(this.makeRefusal(), false);
		} else if (this.connection?.hasOpened) {
			const answeringMs = this.answeredAt === undefined ? undefined : this.sender.clock() - this.answeredAt;
			this.settle({
				kind: 'lost', reason, isConnectionClosed: isCut, isExcessive, answeringMs,
			}, false);
		} else {
			this.settle({kind: 'not-run', reason: `not sent: ${reason}`, wasSent: false}, false);
		}
	}

	private makeRefusal(): SendOutcome {
		const retryAfter = this.retryAfter === undefined ? '' : `, Retry-After ${this.retryAfter}`;
		return {
			kind: 'not-run', reason: `target refused with ${this.status}, ${this.cause}${retryAfter}`, wasSent: true, cause: this.cause,
		};
	}

	private settle(outcome: SendOutcome, isReusable: boolean): void {
		if (this.isSettled) {
			return;
		}

		this.isSettled = true;
		const {connection} = this;
		// An answer stays in memory until the caller has read it, which ends the request.
		if (outcome.kind !== 'answered') {
			this.releaseBuffer();
		}

		if (connection && isReusable) {
			// Deferred, since undici's parser must first finish this answer.
			setImmediate(() => {
				this.sender.pool.release(this.options.target, connection);
			});
		} else {
			connection?.destroy();
		}

		this.resolve(outcome);
	}
}

/** Sends requests to targets over HTTP, on pooled connections. */
export class TargetSender {
	constructor(private readonly options: SenderOptions) {}

	/** Sends a request to one target and resolves with the outcome; streams are relayed to the caller meanwhile. */
	async send(options: SendOptions): Promise<SendOutcome> {
		return new Attempt(this.options, options).run();
	}
}
