import {once} from 'node:events';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {setImmediate} from 'node:timers/promises';
import {Problem} from '../requests/problem.js';
import {type CallerConnection} from './caller-connection.js';
import {CallerConnections} from './caller-connections.js';
import {type CallerRequest} from './caller-request.js';
import {countRequestBytes} from './count-request-bytes.js';
import {cutAnswer} from './cut-answer.js';
import {estimateRequestBytes} from './estimate-request-bytes.js';
import {formatInputRefusal} from './format-input-refusal.js';
import {IdleAwareServer} from './idle-aware-server.js';
import {makeStopProblem} from './make-stop-problem.js';
import {ReadAhead} from './read-ahead.js';

type ServerOptions = Omit<ConstructorParameters<typeof CallerConnections>[0], 'onEmpty'> & {
	readonly address: string;
	/** 0 for any free port. */
	readonly port: number;
	/** Limit of Node's parser on headers, bytes. */
	readonly maximumHeaderBytes?: number;
	/** Serves a request; resolves when nothing runs for it any more. */
	readonly serve: (request: CallerRequest) => Promise<void>;
	readonly log: (message: string) => void;
};

type Caller = NonNullable<ReturnType<CallerConnections['get']>>;

/** A request as Node has parsed it; one for a tunnel has no response. */
type ParsedRequest = {readonly incoming: IncomingMessage; readonly response?: ServerResponse; readonly isLast?: boolean};

/** Interval of the checks for connections that exceed the header or idle timeout, or take nothing of their answers, milliseconds. */
const connectionCheckMs = 500;
/** A caller that takes nothing of an answer for this time, or for the idle timeout if that is longer, loses its connection, milliseconds. */
const minimumStallLimitMs = 10_000;
/** Time after the start of a drain in which requests that callers have written ahead are still accepted, milliseconds. */
const lastRequestsMs = 1000;
/** Time after the start of a drain in which bodies may still arrive, milliseconds; the requests are refused then. */
const lastBodiesMs = 4000;
/** Answer to CONNECT: the server opens no tunnels. */
const tunnelRefusal = 'HTTP/1.1 405 Method Not Allowed\r\nallow: GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS\r\nconnection: close\r\ncontent-length: 0\r\n\r\n';

/* Whether a request lacks the host that HTTP/1.1 asks for. Node's own refusal closes the connection, whatever else is open on it. */
const lacksHost = ({httpVersion, headers}: IncomingMessage): boolean => httpVersion === '1.1' && headers.host === undefined;

/*
 * Whether bytes may have been lost after a request. Node's parser drops those that arrive together with the end of a request for another
 * protocol, so that it would take the middle of the next request for its beginning.
 */
const mayLoseBytes = (incoming: IncomingMessage, {hasOpen, receivedBytes}: CallerConnection): boolean =>
	incoming.headers.upgrade !== undefined && (hasOpen || receivedBytes !== countRequestBytes(incoming));

const refuse = async ({incoming, response, mayKeepAlive}: CallerRequest): Promise<void> => {
	// A body that came with the head is read whole then. After any other one the connection is closed.
	await setImmediate();
	response.shouldKeepAlive &&= mayKeepAlive() && incoming.complete;
	response.writeHead(400, {'content-length': 0}).end();
};

/** The HTTP server for callers: whatever ends a connection, each request accepted on it is answered or has not been served. */
export class CallerServer {
	private readonly server: IdleAwareServer;
	private readonly connections: CallerConnections;
	private openCount = 0;
	private isStopping = false;
	private checkTimer: NodeJS.Timeout | undefined;
	/** Time from which no more bodies are awaited, milliseconds. */
	private bodiesUntil = Number.POSITIVE_INFINITY;
	private onDrained: (() => void) | undefined;

	constructor(private readonly options: ServerOptions) {
		this.server = new IdleAwareServer({
			maxHeaderSize: options.maximumHeaderBytes,
			connectionsCheckingInterval: connectionCheckMs,
			requestTimeout: 0,
			requireHostHeader: false,
			noDelay: true,
		}, () => {
			this.endIdleConnections();
		});
		this.connections = new CallerConnections({
			...options,
			onEmpty: () => {
				this.onDrained?.();
			},
		});
		// The byte limit on heads bounds their fields; Node would drop fields beyond its limit on their number.
		this.server.maxHeadersCount = 0;
		this.server.on('connection', socket => {
			this.connections.add(socket);
		});
		this.server.on('request', (incoming, response) => {
			this.accept(incoming, response);
		});
		this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
			this.handleInputError(error, socket as Socket);
		});
		this.server.on('timeout', (socket: Socket) => {
			void this.endIfSilent(socket);
		});
		this.server.on('connect', (incoming, socket) => {
			this.refuseTunnel(incoming, socket as Socket);
		});
	}

	/** TCP port that the server listens on. */
	get port(): number {
		return (this.server.address() as AddressInfo).port;
	}

	/** Requests whose answers have not been written completely, or that still run. */
	get openRequests(): number {
		return this.openCount;
	}

	/** Number of open connections. */
	get connectionCount(): number {
		return this.connections.size;
	}

	/** Sets the timeouts for receiving headers and for idle connections, milliseconds. */
	setTimeouts(headerTimeoutMs: number, idleTimeoutMs: number): void {
		this.server.headersTimeout = headerTimeoutMs;
		this.server.keepAliveTimeout = idleTimeoutMs;
	}

	/** Starts to accept connections. */
	async listen(): Promise<void> {
		this.server.listen(this.options.port, this.options.address);
		await once(this.server, 'listening');
		this.checkTimer = setInterval(() => {
			this.check();
		}, connectionCheckMs).unref();
	}

	/** From now on, connections are closed after the next answer. */
	announceStop(): void {
		this.isStopping = true;
	}

	/** Accepts no more connections, soon no more requests, and resolves when all open requests have been answered and all connections closed. */
	async drain(): Promise<void> {
		this.isStopping = true;
		this.bodiesUntil = this.options.clock() + lastBodiesMs;
		this.server.close();
		setTimeout(() => {
			this.endConnections();
		}, lastRequestsMs).unref();
		if (this.openCount === 0) {
			this.endConnections();
		}

		if (this.connections.size > 0) {
			await new Promise<void>(resolve => {
				this.onDrained = resolve;
			});
		}
	}

	/** Closes all connections at once. */
	close(): void {
		clearInterval(this.checkTimer);
		this.server.close();
		for (const {connection} of this.connections.list()) {
			connection.destroy();
		}
	}

	private check(): void {
		this.connections.check(Math.max(minimumStallLimitMs, this.server.keepAliveTimeout));
		if (this.options.clock() < this.bodiesUntil) {
			return;
		}

		for (const {connection} of this.connections.list()) {
			if (connection.isReceivingFirst) {
				connection.failInput(makeStopProblem('the body had not arrived when this entry stopped'));
			}
		}
	}

	private endConnections(): void {
		for (const {connection} of this.connections.list()) {
			connection.end();
		}
	}

	private endIdleConnections(): void {
		for (const {connection} of this.connections.list()) {
			if (connection.isIdle) {
				connection.end();
			}
		}
	}

	/* Ends a connection at its idle timeout. A request that had arrived by then is read first: the process may have been busy meanwhile. */
	private async endIfSilent(socket: Socket): Promise<void> {
		const {bytesRead} = socket;
		await setImmediate();
		const connection = this.connections.get(socket)?.connection;
		// What has been read may wait for its turn to be parsed.
		if (connection?.hasOpen === false && socket.bytesRead === bytesRead && socket.readableLength === 0) {
			connection.end();
		}
	}

	private accept(incoming: IncomingMessage, response: ServerResponse): void {
		const caller = this.connections.get(incoming.socket);
		if (!caller) {
			// Its connection was closed as too many were open.
			return;
		}

		const {connection, memory} = caller;
		caller.hasProgress = true;
		caller.hasBegunChunks = incoming.headers['transfer-encoding'] !== undefined;
		const ownBytes = estimateRequestBytes(incoming);
		let waitingBytes = 0;
		const wait = (bytes: number): void => {
			caller.hasProgress = true;
			if (bytes === 0 || memory.grow('waiting', bytes)) {
				waitingBytes += bytes;
			} else {
				connection.dropWaitingRequests();
			}
		};

		const readAhead = connection.hasOpen ? new ReadAhead(incoming, wait) : undefined;
		let isShort = false;
		const request: CallerRequest = {
			incoming,
			// The end of a connection is noticed only while it is read.
			readAhead,
			response,
			arrivedAt: this.options.clock(),
			mayKeepAlive: () => this.mayKeepAlive(connection),
			memory: {
				get isShort() {
					return isShort;
				},
				noteBody() {
					caller.hasProgress = true;
				},
				grow: (part, bytes) => memory.grow(part, bytes),
			},
			inputFailure: connection.inputFailure,
			disconnection: new AbortController(),
		};
		const serve = (): void => {
			isShort = !memory.noteServed(ownBytes, waitingBytes);
			void this.serve(request, caller);
		};

		this.openCount++;
		if (readAhead) {
			wait(ownBytes);
		}

		this.add(connection, {incoming, response, isLast: mayLoseBytes(incoming, connection)}, serve, () => {
			// The connection is read on: a close with unread bytes would reset it.
			readAhead?.take();
			incoming.resume();
			incoming.rawHeaders = [];
			incoming.headers = {};
			memory.noteDropped(waitingBytes);
			this.noteRequestEnd();
		});
	}

	private add(connection: CallerConnection, {incoming, response, isLast}: ParsedRequest, serve: () => void, onDrop: () => void): void {
		const drop = (): void => {
			this.options.log(`${incoming.method} ${incoming.url} was not served: its connection closes or has closed`);
			onDrop();
		};

		if (!connection.add({
			serve, drop, incoming, response, isLast,
		})) {
			drop();
		}
	}

	private async serve(request: CallerRequest, caller: Caller): Promise<void> {
		const answered = this.watchAnswer(request, caller);
		try {
			await (lacksHost(request.incoming) ? refuse(request) : this.options.serve(request));
		} catch (error) {
			this.options.log(`request failed with an internal error: ${(error as Error).stack ?? String(error)}`);
			cutAnswer(request.response);
		}

		await answered;
		if (caller.socket.destroyed) {
			caller.memory.noteEnd();
		}

		this.noteRequestEnd();
	}

	/* Resolves when the answer has been written, or its connection has closed. */
	private async watchAnswer({incoming: {socket}, response, disconnection}: CallerRequest, {connection, memory}: Caller): Promise<void> {
		let isWhole = false;
		// Before Node's own listener. A connection that is destroyed with unwritten bytes also reports the answer as finished.
		response.prependListener('finish', () => {
			isWhole = !socket.destroyed;
		});
		await new Promise<void>(resolve => {
			response.once('close', resolve);
		});
		if (!isWhole) {
			// An error of the system comes from the caller's side, any other from this process.
			const isReset = (socket.errored as NodeJS.ErrnoException | undefined)?.syscall !== undefined;
			disconnection.abort(socket.readableEnded || isReset ? 'caller' : 'entry');
		}

		if (!socket.destroyed) {
			memory.noteEnd();
		}

		connection.finish();
		// The head may have been sent with `connection: keep-alive` before the stop began.
		if (this.isStopping && !connection.hasOpen) {
			connection.end();
		}
	}

	private mayKeepAlive(connection: CallerConnection): boolean {
		if (this.isStopping && !connection.hasWaiting) {
			connection.end();
		}

		return !connection.isAtLast;
	}

	/* Nothing more can be read from the caller. Its open requests are not affected, but for one whose body is still arriving. */
	private handleInputError(error: NodeJS.ErrnoException, socket: Socket): void {
		const connection = this.connections.get(socket)?.connection;
		if (!connection?.hasOpen) {
			if (socket.writable) {
				socket.write(formatInputRefusal(error));
			}

			socket.destroySoon();
		} else if (socket.writable && !socket.readableEnded) {
			this.options.log(`connection with an open request cannot be read any more: ${error.message}`);
			connection.failInput(new Problem({
				status: 400, title: 'Bad request', detail: `the body cannot be read: ${error.message}`, outcome: 'not-run',
			}));
		} else {
			socket.destroy();
		}
	}

	/* Node hands over the connection of a CONNECT request, whose target is not a path. */
	private refuseTunnel(incoming: IncomingMessage, socket: Socket): void {
		const connection = this.connections.get(socket)?.connection;
		if (!connection) {
			return;
		}

		// Node has removed its own listeners.
		socket.on('error', error => {
			this.options.log(`connection of a caller failed: ${error.message}`);
		});
		socket.on('drain', () => {
			connection.resumeAnswer();
		});
		connection.discardInput();
		this.add(connection, {incoming}, () => {
			socket.write(tunnelRefusal);
			connection.end();
			connection.finish();
		}, () => undefined);
	}

	private noteRequestEnd(): void {
		this.openCount--;
		if (this.openCount === 0 && this.onDrained) {
			this.endConnections();
		}
	}
}
