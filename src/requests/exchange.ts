import {type IncomingHttpHeaders, type ServerResponse} from 'node:http';
import {type Span, type Tracer} from '@opentelemetry/api';
import {type RequestMemory} from '../callers/request-memory.js';
import {traceHop} from '../tracing/trace-hop.js';
import {type Row} from '../table/row.js';

type ExchangeOptions = Pick<Exchange, 'id' | 'method' | 'url' | 'headers' | 'response' | 'arrivedAt' | 'span' | 'tracer' | 'mayKeepAlive' | 'memory' | 'callerAbort'>;

/** One request of a caller and its response, passed along the chain of filters; each filter sets the fields that it determines. */
export class Exchange {
	organisation = '';
	service = '';
	kind: 'model' | 'plain' = 'plain';
	/** Path and query for the engine or service. */
	path = '';
	body: Uint8Array<ArrayBuffer> = new Uint8Array();
	/** The table's row for this service and organisation, if there is one. */
	row: Row | undefined;
	/** Time by which the answer must be complete, milliseconds since the epoch. */
	deadline = 0;
	/** RFC 9218 urgency: 0 is served first, 7 last; 3 by default. */
	urgency = 3;
	/** Whether the request may be sent again after a failure, at the risk that it runs twice. */
	isRepeatable = true;
	/** Idempotency key; set when the request must run at most once. */
	key: string | undefined;
	/** Signed ticket as the caller sent it; set when the request must run at most once, at the ticket's target. */
	ticket: string | undefined;
	/** Hash of the organisation and the start of the prompt, for cache affinity; undefined for plain services. */
	prefixHash: number | undefined;
	/** Estimated tokens of prompt and answer, for limits on tokens. */
	tokens = 0;
	/** Decisions on this request and their reasons, for `/explain`. */
	readonly decisions: string[] = [];

	readonly id: string;
	readonly method: string;
	readonly url: string;
	readonly headers: IncomingHttpHeaders;
	readonly response: ServerResponse;
	/** Milliseconds since the epoch. */
	readonly arrivedAt: number;
	readonly span: Span;
	readonly tracer: Tracer;
	/** Whether the connection may stay open after the answer; must be asked once, before the head of the answer is written. */
	readonly mayKeepAlive: () => boolean;
	/** What the process holds for the request. */
	readonly memory: RequestMemory;
	/** Aborted when the caller disconnects before its response is complete. */
	readonly callerAbort: AbortController;

	constructor(options: ExchangeOptions) {
		this.id = options.id;
		this.method = options.method;
		this.url = options.url;
		this.headers = options.headers;
		this.response = options.response;
		this.arrivedAt = options.arrivedAt;
		this.span = options.span;
		this.tracer = options.tracer;
		this.mayKeepAlive = options.mayKeepAlive;
		this.memory = options.memory;
		this.callerAbort = options.callerAbort;
	}

	/** Runs `work` within a child span called `name`. */
	async trace<Value>(name: string, work: (span: Span) => Promise<Value>): Promise<Value> {
		return traceHop(this.tracer, name, this.span, work);
	}

	/** Decides whether the connection stays open after the answer; must be called before the head of the answer is written. */
	prepareHead(): void {
		this.response.shouldKeepAlive &&= this.mayKeepAlive();
	}

	/** Records a decision for `/explain`. */
	noteDecision(decision: string): void {
		this.decisions.push(decision);
	}
}
