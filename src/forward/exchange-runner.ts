import {setImmediate} from 'node:timers/promises';
import {err, ok, type Result} from 'neverthrow';
import {type CallerRequest} from '../callers/caller-request.js';
import {cutAnswer} from '../callers/cut-answer.js';
import {type Filter} from '../requests/filter.js';
import {Problem} from '../requests/problem.js';
import {runFilters} from '../requests/run-filters.js';
import {ForwardExchange} from './forward-exchange.js';
import {type HeaderDialect} from './header-dialect.js';
import {type RequestMetadata} from './request-metadata.js';
import {sendProblem} from './send-problem.js';

type RunnerOptions = {
	readonly dialect: HeaderDialect;
	readonly filters: ReadonlyArray<Filter<ForwardExchange>>;
	/** Called at the end of each request; `problem` is what was sent to the caller, undefined after an answer. */
	readonly onEnd: (exchange: ForwardExchange, problem: Problem | undefined) => void;
	/** Called when the connection closes before the answer has been written completely, and by whom. */
	readonly onCut: (exchange: ForwardExchange, closedBy: 'caller' | 'entry') => void;
	readonly log: (message: string) => void;
};

/** Stands for the metadata of a request whose headers cannot be read. */
const unreadMetadata: RequestMetadata = {
	id: undefined, deadlineMs: undefined, lastEventId: undefined, promptParts: [],
};

/** Makes an exchange of each request of a caller, sends it through the filters, and sees to it that it is answered. */
export class ExchangeRunner {
	constructor(private readonly options: RunnerOptions) {}

	/** Serves a request until nothing runs for it any more. */
	async serve(request: CallerRequest): Promise<void> {
		const metadata = this.readMetadata(request);
		const exchange = new ForwardExchange({...request, metadata: metadata.unwrapOr(unreadMetadata)});
		const {signal} = request.disconnection;
		signal.addEventListener('abort', () => {
			this.options.onCut(exchange, signal.reason as 'caller' | 'entry');
		}, {once: true});
		if (metadata.isErr()) {
			this.fail(exchange, metadata.error);
		} else {
			await this.runFilters(exchange);
		}
	}

	private readMetadata({incoming: {headers}}: CallerRequest): Result<RequestMetadata, unknown> {
		try {
			return ok(this.options.dialect.readRequest(headers));
		} catch (error) {
			return err(error);
		}
	}

	private async runFilters(exchange: ForwardExchange): Promise<void> {
		try {
			const result = await runFilters(this.options.filters, exchange);
			if (result.isErr() && !exchange.incoming.complete) {
				// A body that came with the head is read whole then, so that the connection can stay open.
				await setImmediate();
			}

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
			cutAnswer(response);
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
}
