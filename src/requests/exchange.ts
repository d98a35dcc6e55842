import {type IncomingHttpHeaders, type ServerResponse} from 'node:http';
import {type Span, type Tracer} from '@opentelemetry/api';
import {traceHop} from '../tracing/trace-hop.js';
import {type Row} from '../table/row.js';

type ExchangeOptions = Pick<Exchange, 'id' | 'method' | 'url' | 'headers' | 'response' | 'arrivedAt' | 'span' | 'tracer'>;

/** One request of a caller on its way through the filters; each filter fills in what it finds. */
export class Exchange {
	organisation = '';
	service = '';
	kind: 'model' | 'plain' = 'plain';
	/** Path and query for the engine or service. */
	path = '';
	body: Uint8Array<ArrayBuffer> = new Uint8Array();
	row: Row | undefined;
	/** Moment by which the answer must have come, milliseconds since the epoch. */
	deadline = 0;
	urgency = 3;
	/** Whether sending it again after a failure is safe. */
	isRepeatable = true;
	/** Set when the request must run at most once. */
	key: string | undefined;
	ticket: string | undefined;
	/** Hash of the prompt's beginning. */
	prefixHash: number | undefined;
	/** Estimate of the tokens that the request will cost. */
	tokens = 0;
	/** Whether the caller has gone away. */
	readonly callerAbort = new AbortController();
	/** What was decided and why, for `explain`. */
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

	constructor(origin: ExchangeOptions) {
		this.id = origin.id;
		this.method = origin.method;
		this.url = origin.url;
		this.headers = origin.headers;
		this.response = origin.response;
		this.arrivedAt = origin.arrivedAt;
		this.span = origin.span;
		this.tracer = origin.tracer;
	}

	/** Runs one hop of the request under a span of its own. */
	async trace<Value>(name: string, work: (span: Span) => Promise<Value>): Promise<Value> {
		return traceHop(this.tracer, name, this.span, work);
	}

	/** Notes a decision for `explain`. */
	noteDecision(decision: string): void {
		this.decisions.push(decision);
	}
}
