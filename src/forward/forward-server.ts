import {once} from 'node:events';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {err, ok, type Result} from 'neverthrow';
import {type Filter} from '../requests/filter.js';
import {Problem} from '../requests/problem.js';
import {runFilters} from '../requests/run-filters.js';
import {CallerConnection} from './caller-connection.js';
import {CallerServer} from './caller-server.js';
import {formatInputRefusal} from './format-input-refusal.js';
import {ForwardExchange} from './forward-exchange.js';
import {type HeaderDialect} from './header-dialect.js';
import {type RequestMetadata} from './request-metadata.js';
import {sendProblem} from './send-problem.js';

type ServerOptions = {
	readonly address: string;
	readonly port: number;
	readonly clock: () => number;
	readonly dialect: HeaderDialect;
	readonly filters: ReadonlyArray<Filter<ForwardExchange>>;
	/** Called at the end of each request; `problem` is what was sent to the caller, undefined after an answer. */
	readonly onEnd: (exchange: ForwardExchange, problem: Problem | undefined) => void;
	/** Called when the connection closes before the answer has been written completely, and by whom. */
	readonly onCut: (exchange: ForwardExchange, closedBy: 'caller' | 'entry') => void;
	readonly log: (message: string) => void;
};

/** Limit of Node's parser on headers, bytes; the configured limit is checked by a filter. */
const parserHeaderBytes = 65_536;
/** Interval of the check for connections that exceed the header or idle timeout, milliseconds. */
const connectionCheckMs = 500;

/** Stands for the metadata of a request whose headers cannot be read. */
const unreadMetadata: RequestMetadata = {
	id: undefined, deadlineMs: undefined, lastEventId: undefined, promptParts: [],
};

/** The HTTP server for callers: turns each request into an exchange and sends it through the filters. */
export class ForwardServer {
	private readonly server: CallerServer;
	private readonly connections = new Map<Socket, CallerConnection>();
	private openCount = 0;
	private isStopping = false;
	private onDrained: (() => void) | undefined;

	constructor(private readonly options: ServerOptions) {
		this.server = new CallerServer({
			maxHeaderSize: parserHeaderBytes,
			connectionsCheckingInterval: connectionCheckMs,
			requestTimeout: 0,
			noDelay: true,
		}, () => {
			this.endIdleConnections();
		});
		this.server.on('connection', socket => {
			this.connections.set(socket, new CallerConnection(socket));
			socket.once('close', () => {
				this.connections.delete(socket);
			});
		});
		this.server.on('request', (incoming, response) => {
			this.accept(incoming, response);
		});
		this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
			this.handleInputError(error, socket as Socket);
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

	/** Sets the timeouts for receiving headers and for idle connections, milliseconds. */
	setTimeouts(headerTimeoutMs: number, idleTimeoutMs: number): void {
		this.server.headersTimeout = headerTimeoutMs;
		this.server.keepAliveTimeout = idleTimeoutMs;
	}

	/** Starts to accept connections. */
	async listen(): Promise<void> {
		this.server.listen(this.options.port, this.options.address);
		await once(this.server, 'listening');
	}

	/** From now on, connections are closed after the next answer. */
	announceStop(): void {
		this.isStopping = true;
	}

	/** Accepts no more connections, and resolves when all open requests have been answered. */
	async drain(): Promise<void> {
		this.isStopping = true;
		this.server.close();
		if (this.openCount > 0) {
			await new Promise<void>(resolve => {
				this.onDrained = resolve;
			});
		}
	}

	/** Closes all connections at once. */
	close(): void {
		this.server.close();
		this.server.closeAllConnections();
	}

	private endIdleConnections(): void {
		for (const connection of this.connections.values()) {
			if (connection.isIdle) {
				connection.end();
			}
		}
	}

	private accept(incoming: IncomingMessage, response: ServerResponse): void {
		const connection = this.connections.get(incoming.socket)!;
		const arrivedAt = this.options.clock();
		const serve = (): void => {
			void this.serve(incoming, response, connection, arrivedAt);
		};

		const drop = (): void => {
			this.options.log(`${incoming.method} ${incoming.url} was not served: its connection closed before the earlier answers on it were complete`);
			this.noteRequestEnd();
		};

		this.openCount++;
		if (!connection.add({serve, drop})) {
			drop();
		}
	}

	/* Nothing more can be read from the caller. Its open requests are not affected, but for one whose body is still arriving. */
	private handleInputError(error: NodeJS.ErrnoException, socket: Socket): void {
		const connection = this.connections.get(socket);
		if (!connection?.hasOpen) {
			if (socket.writable) {
				socket.write(formatInputRefusal(error));
			}

			socket.destroySoon();
		} else if (socket.writable && !socket.readableEnded) {
			this.options.log(`connection with an open request cannot be read any more: ${error.message}`);
			connection.failInput(error);
		} else {
			socket.destroy();
		}
	}

	/* Node hands over the connection of a CONNECT request, whose target is not a path. */
	private refuseTunnel(incoming: IncomingMessage, socket: Socket): void {
		const connection = this.connections.get(socket)!;
		// Node has removed its own listeners.
		socket.on('error', error => {
			this.options.log(`connection of a caller failed: ${error.message}`);
		});
		socket.resume();
		const serve = (): void => {
			socket.end('HTTP/1.1 405 Method Not Allowed\r\nallow: GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS\r\nconnection: close\r\ncontent-length: 0\r\n\r\n');
			connection.end();
		};

		const drop = (): void => {
			this.options.log(`${incoming.method} ${incoming.url} was not answered: its connection closed before`);
		};

		if (!connection.add({serve, drop})) {
			drop();
		}
	}

	private async serve(incoming: IncomingMessage, response: ServerResponse, connection: CallerConnection, arrivedAt: number): Promise<void> {
		const metadata = this.readMetadata(incoming);
		const exchange = new ForwardExchange({
			incoming,
			response,
			arrivedAt,
			metadata: metadata.unwrapOr(unreadMetadata),
			mayKeepAlive: () => this.mayKeepAlive(connection),
			inputFailure: connection.inputFailure,
		});
		const answered = this.watchAnswer(exchange, connection);
		if (metadata.isErr()) {
			this.fail(exchange, metadata.error);
		} else {
			await this.runFilters(exchange);
		}

		await answered;
		this.noteRequestEnd();
	}

	private readMetadata({headers}: IncomingMessage): Result<RequestMetadata, unknown> {
		try {
			return ok(this.options.dialect.readRequest(headers));
		} catch (error) {
			return err(error);
		}
	}

	private mayKeepAlive(connection: CallerConnection): boolean {
		if (connection.hasWaiting || !(this.isStopping || connection.inputFailure.aborted)) {
			return true;
		}

		connection.end();
		return false;
	}

	/* Resolves when the answer has been written, or its connection has closed. */
	private async watchAnswer(exchange: ForwardExchange, connection: CallerConnection): Promise<void> {
		const {incoming: {socket}, response, disconnection} = exchange;
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
			this.options.onCut(exchange, socket.readableEnded || isReset ? 'caller' : 'entry');
			disconnection.abort();
		}

		connection.finish();
		// The head may have been sent with `connection: keep-alive` before the stop began.
		if (this.isStopping && !connection.hasOpen) {
			connection.end();
		}
	}

	private async runFilters(exchange: ForwardExchange): Promise<void> {
		try {
			const result = await runFilters(this.options.filters, exchange);
			this.finish(exchange, result);
		} catch (error) {
			this.fail(exchange, error);
		}
	}

	/* Answers a request on whose way something was thrown; it is not known how far the request had come. */
	private fail(exchange: ForwardExchange, error: unknown): void {
		const {metadata, decisions, response} = exchange;
		this.options.log(`${metadata.id ?? '-'} failed with an internal error after "${decisions.join('; ')}": ${(error as Error).stack ?? String(error)}`);
		if (response.writableEnded) {
			return;
		}

		if (response.headersSent) {
			// The caller must not take the partial answer for a complete one.
			response.destroy();
			return;
		}

		sendProblem(exchange, new Problem({
			status: 500, title: 'Internal error', detail: 'the request failed within the entry', outcome: 'unknown',
		}));
	}

	private finish(exchange: ForwardExchange, result: Result<void, Problem>): void {
		const problem = result.isErr() ? result.error : undefined;
		if (problem) {
			sendProblem(exchange, problem);
		}

		this.options.onEnd(exchange, problem);
	}

	private noteRequestEnd(): void {
		this.openCount--;
		if (this.openCount === 0) {
			this.onDrained?.();
		}
	}
}
