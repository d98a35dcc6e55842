import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {type Result} from 'neverthrow';
import {type Filter} from '../requests/filter.js';
import {type Problem} from '../requests/problem.js';
import {runFilters} from '../requests/run-filters.js';
import {ForwardExchange} from './forward-exchange.js';
import {type HeaderDialect} from './header-dialect.js';

type ServerOptions = {
	readonly address: string;
	readonly port: number;
	readonly clock: () => number;
	readonly dialect: HeaderDialect;
	readonly filters: ReadonlyArray<Filter<ForwardExchange>>;
	/** Told of each request's end. */
	readonly onEnd: (exchange: ForwardExchange, problem: Problem | undefined) => void;
	readonly log: (message: string) => void;
};

/** Node's own limit on headers, bytes; the configuration's is checked by a filter. */
const parserHeaderBytes = 65_536;
/** Time between two looks for connections whose headers or next request take too long, milliseconds. */
const connectionCheckMs = 500;

const formatRetryAfter = (ms: number): string => (ms / 1000).toFixed(3);

/** The HTTP server for callers: turns each request into an exchange and sends it through the filters. */
export class ForwardServer {
	private readonly server: Server;
	private open = 0;
	private isStopping = false;
	private idleListener: (() => void) | undefined;

	constructor(private readonly options: ServerOptions) {
		this.server = createServer({
			maxHeaderSize: parserHeaderBytes,
			connectionsCheckingInterval: connectionCheckMs,
			requestTimeout: 0,
			noDelay: true,
		}, (request, response) => {
			void this.serve(request, response);
		});
	}

	get port(): number {
		return (this.server.address() as AddressInfo).port;
	}

	get openRequests(): number {
		return this.open;
	}

	/** Sets how long callers may take for headers, and stay idle, milliseconds. */
	setTimeouts(headerTimeoutMs: number, idleTimeoutMs: number): void {
		this.server.headersTimeout = headerTimeoutMs;
		this.server.keepAliveTimeout = idleTimeoutMs;
	}

	async listen(): Promise<void> {
		this.server.listen(this.options.port, this.options.address);
		await once(this.server, 'listening');
	}

	/** From now on each answer is the last of its connection. */
	announceStop(): void {
		this.isStopping = true;
	}

	/** Takes no more connections, and waits until every open request has its answer. */
	async drain(): Promise<void> {
		this.isStopping = true;
		this.server.close();
		this.server.closeIdleConnections();
		if (this.open > 0) {
			await new Promise<void>(resolve => {
				this.idleListener = resolve;
			});
		}

		this.server.closeIdleConnections();
	}

	/** Cuts every connection. */
	close(): void {
		this.server.close();
		this.server.closeAllConnections();
	}

	private async serve(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
		const {clock, dialect, filters, log} = this.options;
		const exchange = new ForwardExchange({
			incoming,
			response,
			arrivedAt: clock(),
			metadata: dialect.readRequest(incoming.headers),
			mayKeepAlive: () => !this.isStopping,
		});
		response.on('close', () => {
			if (!response.writableFinished) {
				exchange.disconnection.abort();
			}
		});
		response.on('finish', () => {
			// The head may have promised to keep the connection open before the stop was known.
			if (this.isStopping) {
				response.req.socket.destroySoon();
			}
		});
		this.open++;
		try {
			const result = await runFilters(filters, exchange);
			this.finish(exchange, result);
		} catch (error) {
			log(`request ${exchange.metadata.id ?? '-'} failed within: ${(error as Error).stack ?? String(error)}`);
			response.destroy();
		} finally {
			this.leave();
		}
	}

	private finish(exchange: ForwardExchange, result: Result<void, Problem>): void {
		if (result.isErr()) {
			this.refuse(exchange, result.error);
		}

		this.options.onEnd(exchange, result.isErr() ? result.error : undefined);
	}

	private refuse({response, incoming, mayKeepAlive: isAllowedToKeepOpen}: ForwardExchange, {options}: Problem): void {
		// A body that was not read may be anything: what follows it is not taken for a request.
		response.shouldKeepAlive &&= isAllowedToKeepOpen() && incoming.complete;
		if (options.retryAfterMs !== undefined && options.retryAfterMs > 0) {
			response.setHeader('retry-after', formatRetryAfter(options.retryAfterMs));
		}

		response.writeHead(options.status, {'content-type': 'application/problem+json'});
		response.end(JSON.stringify({
			type: 'about:blank', title: options.title, status: options.status, detail: options.detail, outcome: options.outcome,
		}));
	}

	private leave(): void {
		this.open--;
		if (this.open === 0) {
			this.idleListener?.();
		}
	}
}
