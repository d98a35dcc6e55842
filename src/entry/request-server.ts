import {randomUUID} from 'node:crypto';
import {type Tracer} from '@opentelemetry/api';
import {type Result} from 'neverthrow';
import {type CallerRequest} from '../callers/caller-request.js';
import {CallerServer} from '../callers/caller-server.js';
import {cutAnswer} from '../callers/cut-answer.js';
import {type ProcessMetrics} from '../metrics/process-metrics.js';
import {Exchange} from '../requests/exchange.js';
import {type Explanations} from '../requests/explanations.js';
import {type Filter} from '../requests/filter.js';
import {makeBodyFilter} from '../requests/filters/make-body-filter.js';
import {Problem} from '../requests/problem.js';
import {runFilters} from '../requests/run-filters.js';
import {writeProblem} from '../requests/write-problem.js';
import {startSpan} from '../tracing/start-span.js';
import {writeTraceParent} from '../tracing/write-trace-parent.js';

type ServerOptions = Pick<ConstructorParameters<typeof CallerServer>[0], 'address' | 'port' | 'budget' | 'getMaximumConnections' | 'onRelease' | 'clock' | 'log'> & {
	readonly maximumBodyBytes: number;
	/** Time from a request's head within which its body must arrive, milliseconds. */
	readonly bodyTimeoutMs: number;
	readonly tracer: Tracer;
	readonly metrics: ProcessMetrics;
	readonly explanations: Explanations;
	readonly tableVersion: () => number;
	/** Filters for requests, after the one that reads the body. */
	readonly filters: readonly Filter[];
	/** Filters for `POST /tickets`. */
	readonly ticketFilters: readonly Filter[];
};

/** Makes an exchange of each request of a caller and runs it through the filters. */
export class RequestServer {
	private readonly server: CallerServer;

	constructor(private readonly options: ServerOptions) {
		this.server = new CallerServer({...options, serve: async request => this.serve(request)});
	}

	/** TCP port in use, also when port 0 was asked for. */
	get port(): number {
		return this.server.port;
	}

	/** Number of open connections. */
	get connectionCount(): number {
		return this.server.connectionCount;
	}

	/** Number of requests that are still being handled. */
	get openRequests(): number {
		return this.server.openRequests;
	}

	/** Starts to accept connections. */
	async listen(): Promise<void> {
		await this.server.listen();
	}

	/** From now on, connections are closed after the next answer. */
	announceStop(): void {
		this.server.announceStop();
	}

	/** Accepts no more connections, and waits until every open request has been answered. */
	async drain(): Promise<void> {
		await this.server.drain();
	}

	/** Closes every connection at once. */
	close(): void {
		this.server.close();
	}

	private async serve(request: CallerRequest): Promise<void> {
		const {clock, tracer, budget, bodyTimeoutMs} = this.options;
		const {incoming, response, arrivedAt, disconnection, mayKeepAlive, memory} = request;
		const maximumBytes = Math.min(this.options.maximumBodyBytes, budget.maximumAccountBytes);
		const id = randomUUID();
		const span = startSpan(tracer, 'entry', incoming.headers);
		const exchange = new Exchange({
			id, method: incoming.method ?? 'GET', url: incoming.url ?? '/', headers: incoming.headers, response, arrivedAt, span, tracer, mayKeepAlive, memory, callerAbort: disconnection,
		});
		writeTraceParent(span, exchange.headers);
		response.setHeader('wardswitch-request-id', id);
		const readBody = makeBodyFilter(request, {maximumBytes, deadline: arrivedAt + bodyTimeoutMs, clock});
		try {
			this.finishExchange(exchange, await runFilters([readBody, ...this.listFilters(request)], exchange));
		} catch (error) {
			this.fail(exchange, error);
		} finally {
			span.end();
		}
	}

	private listFilters({incoming: {method, url = '/'}}: CallerRequest): readonly Filter[] {
		const [path] = url.split('?', 1);
		return method === 'POST' && path === '/tickets' ? this.options.ticketFilters : this.options.filters;
	}

	/* Answers a request on whose way something was thrown; it is not known how far the request had come. */
	private fail(exchange: Exchange, error: unknown): void {
		this.options.log(`request ${exchange.id} failed with an internal error: ${(error as Error).stack ?? String(error)}`);
		if (exchange.response.headersSent) {
			if (!exchange.response.writableEnded) {
				cutAnswer(exchange.response);
			}

			return;
		}

		exchange.prepareHead();
		writeProblem(new Problem({
			status: 500, title: 'Internal error', detail: 'the request failed within the entry', outcome: 'unknown',
		}), exchange.id, exchange.response);
	}

	private finishExchange(exchange: Exchange, result: Result<void, Problem>): void {
		const {metrics, explanations, clock, tableVersion} = this.options;
		let outcome = 'ok';
		if (result.isErr()) {
			({outcome} = result.error.options);
			exchange.noteDecision(`${outcome}: ${result.error.message}`);
			exchange.prepareHead();
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
}
