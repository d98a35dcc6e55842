import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type CallerRequest} from '../callers/caller-request.js';
import {type Route} from '../fleet/route.js';
import {fingerprintRequest} from './fingerprint-request.js';
import {type RequestMetadata} from './request-metadata.js';

type Origin = Pick<ForwardExchange, 'incoming' | 'response' | 'arrivedAt' | 'metadata' | 'mayKeepAlive' | 'readAhead' | 'memory' | 'inputFailure' | 'disconnection'>;

/** A caller's request and its response, with the state that filters and the dispatcher add. */
export class ForwardExchange {
	route: Route | undefined;
	/** Version of the configuration that the route was found in. */
	configurationVersion = 0;
	organisation: string | undefined;
	body: Uint8Array<ArrayBuffer> = new Uint8Array();
	/** Time by which the answer must be complete, milliseconds on the entry's clock. */
	deadline = Number.POSITIVE_INFINITY;
	/** Name of the service that the request is sent to. */
	service = '';
	/** Decisions and their reasons, for the log line on the request. */
	readonly decisions: string[] = [];

	readonly incoming: IncomingMessage;
	readonly response: ServerResponse;
	/** Milliseconds on the entry's clock. */
	readonly arrivedAt: number;
	readonly metadata: RequestMetadata;
	/** Whether the caller's connection may stay open after the answer. */
	readonly mayKeepAlive: () => boolean;
	readonly readAhead: CallerRequest['readAhead'];
	/** What the process holds for the request. */
	readonly memory: CallerRequest['memory'];
	/** Aborted with a problem when nothing more can be read from the caller. */
	readonly inputFailure: AbortSignal;
	/** Aborted when the connection to the caller closes before the answer is complete. */
	readonly disconnection: AbortController;
	private cachedFingerprint: string | undefined;

	constructor(origin: Origin) {
		this.incoming = origin.incoming;
		this.response = origin.response;
		this.arrivedAt = origin.arrivedAt;
		this.metadata = origin.metadata;
		this.mayKeepAlive = origin.mayKeepAlive;
		this.readAhead = origin.readAhead;
		this.memory = origin.memory;
		this.inputFailure = origin.inputFailure;
		this.disconnection = origin.disconnection;
	}

	/** Whether the request may run more than once, so that it may be sent again. */
	get isRetryable(): boolean {
		return this.route?.kind === 'idempotent' || (this.route?.kind === 'stream' && this.route.isResumable);
	}

	/** Hash that identifies the request and its retries; valid once the body has been read. */
	get fingerprint(): string {
		const {organisation, body, incoming: {method = 'GET', url = '/', headers}} = this;
		this.cachedFingerprint ??= fingerprintRequest({
			organisation, method, host: headers.host ?? '', url, body,
		});
		return this.cachedFingerprint;
	}

	/** Records a decision for the log line. */
	noteDecision(decision: string): void {
		this.decisions.push(decision);
	}
}
