import {Buffer} from 'node:buffer';
import {type Target} from '../fleet/target.js';
import {type ConnectionPool} from './connection-pool.js';
import {dropHopHeaders} from './drop-hop-headers.js';
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

/** Answers that are not streams are held until they are whole; a larger one is not relayed, bytes. */
const maximumAnswerBytes = 16 * 1024 * 1024;

/**
 * A request that runs at most once is lost with its connection, so it takes one on which the target has answered within
 * this time, milliseconds, or a new one; opening costs one exchange of packets.
 */
const onceIdleMs = 500;

/** What the head of an answer makes of the rest: to be dropped, held until whole, or passed on as it comes. */
type Mode = 'wait' | 'reject' | 'hold' | 'stream';

/** One send of a request to a target over HTTP, followed to its end. */
class Send {
	private mode: Mode = 'wait';
	private status = 0;
	private headers: string[] = [];
	private readonly chunks: Buffer[] = [];
	private bytes = 0;
	private cause: 'busy' | 'group-down' | 'gone' = 'busy';
	private retryAfter: string | undefined;
	private isSettled = false;
	/** When the last part of a stream came, milliseconds. */
	private eventAt: number | undefined;
	/** When the target began to answer, milliseconds. */
	private answeredAt: number | undefined;
	private readonly sentAt: number;
	private readonly connection: TargetConnection;
	private resolve!: (outcome: SendOutcome) => void;

	constructor(private readonly sender: SenderOptions, private readonly options: SendOptions) {
		this.sentAt = sender.clock();
		this.connection = sender.pool.take(options.target, options.exchange.isRetryable ? Number.POSITIVE_INFINITY : onceIdleMs);
	}

	async run(): Promise<SendOutcome> {
		const {exchange, signal} = this.options;
		const outcome = new Promise<SendOutcome>(resolve => {
			this.resolve = resolve;
		});
		const abort = (): void => {
			this.fail(String(signal.reason));
		};

		const flow = (): void => {
			this.connection.resume();
		};

		signal.addEventListener('abort', abort, {once: true});
		exchange.response.on('drain', flow);
		this.start();
		try {
			return await outcome;
		} finally {
			signal.removeEventListener('abort', abort);
			exchange.response.off('drain', flow);
		}
	}

	private start(): void {
		try {
			const {exchange} = this.options;
			this.connection.send({
				method: exchange.incoming.method ?? 'GET',
				path: exchange.incoming.url ?? '/',
				headers: this.makeHeaders(),
				body: exchange.body,
			}, {
				onHead: (status, headers) => {
					this.takeHead(status, headers);
				},
				onData: chunk => this.takeData(chunk),
				onEnd: () => {
					this.takeEnd();
				},
				onError: error => {
					this.fail(error.message, true);
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
		const marks = dialect.makeRequestHeaders({
			targetId: target.id,
			organisation: exchange.organisation,
			remainingMs: Math.max(1, Math.floor(exchange.deadline - clock())),
			lastEventId: delivery.lastEventId,
		});
		return [...headers, ...Object.entries(marks).flat()];
	}

	private takeHead(status: number, headers: string[]): void {
		const {exchange, target, delivery} = this.options;
		if (status < 200) {
			return;
		}

		this.status = status;
		this.headers = headers;
		const index = indexHeaders(headers);
		const marks = this.sender.dialect.readAnswer(status, index);
		this.sender.onHead(target, marks, this.sentAt);
		// A target that answers twice may refuse an earlier request here: that proves nothing of this one.
		const isForeign = marks.requestId !== exchange.metadata.id && (marks.requestId !== undefined || !marks.isNotRun);
		if (isForeign) {
			this.fail('the answer belongs to another request');
			return;
		}

		if (marks.isNotRun) {
			this.cause = marks.isMisdirected ? 'gone' : (marks.isGroupDown ? 'group-down' : 'busy');
			this.retryAfter = marks.retryAfterText;
			this.mode = 'reject';
			return;
		}

		this.answeredAt = this.sender.clock();
		this.noteProgress(target);
		const isSuccess = status < 300;
		if (isSuccess && (!marks.isSigned || index.has('content-encoding'))) {
			this.fail('the answer is not the target\'s own');
			return;
		}

		const isStream = isSuccess && exchange.route?.kind === 'stream' && index.get('content-type')?.startsWith('text/event-stream');
		this.mode = isStream ? 'stream' : 'hold';
		if (isStream) {
			delivery.start(status, headers);
		}
	}

	private takeData(chunk: Buffer): boolean {
		if (this.isSettled) {
			return true;
		}

		if (this.mode !== 'reject') {
			this.noteProgress(this.options.target);
		}

		if (this.mode === 'stream') {
			this.noteEvent();
			return this.options.delivery.push(chunk);
		}

		this.bytes += chunk.length;
		if (this.bytes > maximumAnswerBytes) {
			this.fail('the answer is too large');
		} else if (this.mode === 'hold') {
			this.chunks.push(chunk);
		}

		return true;
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

	private takeEnd(): void {
		switch (this.mode) {
			case 'reject': {
				this.settle(this.makeRefusal(), true);
				break;
			}

			case 'hold': {
				this.settle({kind: 'answered', answer: {status: this.status, headers: this.headers, body: Buffer.concat(this.chunks)}}, true);
				break;
			}

			case 'stream': {
				if (this.options.delivery.finish()) {
					this.settle({kind: 'streamed'}, true);
				} else {
					this.fail('the stream ended within an event', true);
				}

				break;
			}

			default: {
				this.fail('the connection ended without an answer', true);
			}
		}
	}

	private fail(reason: string, isCut = false): void {
		// A refusal that was read is a proof, however its body ended.
		if (this.mode === 'reject') {
			this.settle(this.makeRefusal(), false);
		} else if (this.connection.hasOpened) {
			const answeringMs = this.answeredAt === undefined ? undefined : this.sender.clock() - this.answeredAt;
			this.settle({
				kind: 'lost', reason, isConnectionClosed: isCut, answeringMs,
			}, false);
		} else {
			this.settle({kind: 'not-run', reason: `not sent: ${reason}`, wasSent: false}, false);
		}
	}

	private makeRefusal(): SendOutcome {
		const rest = this.retryAfter === undefined ? '' : `, Retry-After ${this.retryAfter}`;
		return {
			kind: 'not-run', reason: `target refused with ${this.status}, ${this.cause}${rest}`, wasSent: true, cause: this.cause,
		};
	}

	private settle(outcome: SendOutcome, isReusable: boolean): void {
		if (this.isSettled) {
			return;
		}

		this.isSettled = true;
		if (isReusable) {
			// The parser finishes with this answer first.
			setImmediate(() => {
				this.sender.pool.release(this.options.target, this.connection);
			});
		} else {
			this.connection.destroy();
		}

		this.resolve(outcome);
	}
}

/** Sends requests to targets over HTTP. */
export class TargetSender {
	constructor(private readonly options: SenderOptions) {}

	/** Sends a request to one target and follows it to its end; streams are passed to the caller meanwhile. */
	async send(options: SendOptions): Promise<SendOutcome> {
		return new Send(this.options, options).run();
	}
}
