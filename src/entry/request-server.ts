import {randomUUID} from 'node:crypto';
import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {type Span, type Tracer} from '@opentelemetry/api';
import {type Result} from 'neverthrow';
import polka from 'polka';
import {getLogger} from '../log/get-logger.js';
import {type ProcessMetrics} from '../metrics/process-metrics.js';
import {Exchange} from '../requests/exchange.js';
import {type Explanations} from '../requests/explanations.js';
import {type Filter} from '../requests/filter.js';
import {makeBodyFilter} from '../requests/filters/make-body-filter.js';
import {type Problem} from '../requests/problem.js';
import {runFilters} from '../requests/run-filters.js';
import {writeProblem} from '../requests/write-problem.js';
import {startSpan} from '../tracing/start-span.js';
import {writeTraceParent} from '../tracing/write-trace-parent.js';

type ServerOptions = {
	readonly address: string;
	readonly port: number;
	readonly maximumBodyBytes: number;
	readonly clock: () => number;
	readonly tracer: Tracer;
	readonly metrics: ProcessMetrics;
	readonly explanations: Explanations;
	readonly tableVersion: () => number;
	/** Filters for requests, after the one that reads the body. */
	readonly filters: readonly Filter[];
	/** Filters for `POST /tickets`. */
	readonly ticketFilters: readonly Filter[];
};

const logger = getLogger('request');

/** The HTTP server for callers: makes an exchange of each request and runs it through the filters. */
export class RequestServer {
	private readonly server: Server;
	private openCount = 0;
	private onIdle: (() => void) | undefined;

	constructor(private readonly options: ServerOptions) {
		this.server = createServer();
		const app = polka({server: this.server});
		app.post('/tickets', (request, response) => {
			void this.serve(request, response, options.ticketFilters);
		});
		app.all('*', (request, response) => {
			void this.serve(request, response, options.filters);
		});
		this.server.on('request', app.handler);
	}

	/** TCP port in use, also when port 0 was asked for. */
	get port(): number {
		return (this.server.address() as AddressInfo).port;
	}

	/** Number of requests that are still being handled. */
	get openRequests(): number {
		return this.openCount;
	}

	/** Starts to accept connections. */
	async listen(): Promise<void> {
		this.server.listen(this.options.port, this.options.address);
		await once(this.server, 'listening');
	}

	/** Accepts no more connections, and waits until every open request has ended. */
	async drain(): Promise<void> {
		this.server.close();
		if (this.openCount > 0) {
			await new Promise<void>(resolve => {
				this.onIdle = resolve;
			});
		}

		this.server.closeIdleConnections();
	}

	/** Closes every connection at once. */
	close(): void {
		this.server.close();
		this.server.closeAllConnections();
	}

	private async serve(request: IncomingMessage, response: ServerResponse, filters: readonly Filter[]): Promise<void> {
		const {clock, tracer, maximumBodyBytes} = this.options;
		const id = randomUUID();
		const span = startSpan(tracer, 'entry', request.headers);
		const exchange = new Exchange({
			id, method: request.method ?? 'GET', url: request.url ?? '/', headers: request.headers, response, arrivedAt: clock(), span, tracer,
		});
		writeTraceParent(span, exchange.headers);
		response.setHeader('wardswitch-request-id', id);
		response.on('close', () => {
			if (!response.writableFinished) {
				exchange.callerAbort.abort();
			}
		});
		this.openCount++;
		try {
			const result = await runFilters([makeBodyFilter(request, maximumBodyBytes), ...filters], exchange);
			this.finishExchange(exchange, result);
		} catch (error) {
			logger.error(`${id} failed with an internal error: ${(error as Error).stack ?? String(error)}`);
			response.destroy(error as Error);
		} finally {
			this.noteEnd(span);
		}
	}

	private finishExchange(exchange: Exchange, result: Result<void, Problem>): void {
		const {metrics, explanations, clock, tableVersion} = this.options;
		let outcome = 'ok';
		if (result.isErr()) {
			({outcome} = result.error.options);
			exchange.noteDecision(`${outcome}: ${result.error.message}`);
			writeProblem(result.error, exchange.id, exchange.response);
		} else if (!exchange.response.writableEnded) {
			outcome = 'unknown';
		} else if (exchange.response.statusCode >= 500) {
			outcome = 'failed';
		}

		metrics.requests.inc({service: exchange.service, outcome});
		explanations.add({
			id: exchange.id,
			service: exchange.service,
			organisation: exchange.organisation,
			at: exchange.arrivedAt,
			tookMs: clock() - exchange.arrivedAt,
			outcome,
			tableVersion: tableVersion(),
			decisions: exchange.decisions,
		});
	}

	private noteEnd(span: Span): void {
		span.end();
		this.openCount--;
		if (this.openCount === 0) {
			this.onIdle?.();
		}
	}
}
