import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Route} from '../fleet/route.js';
import {fingerprintRequest} from './fingerprint-request.js';
import {type RequestMetadata} from './request-metadata.js';

type Origin = Pick<ForwardExchange, 'incoming' | 'response' | 'arrivedAt' | 'metadata' | 'mayKeepAlive'>;

/** One request of a caller on its way through the filters to a target and back. */
export class ForwardExchange {
	route: Route | undefined;
	/** Version of the configuration that the route comes from. */
	configurationVersion = 0;
	organisation: string | undefined;
	body: Uint8Array<ArrayBuffer> = new Uint8Array();
	/** Moment by which the answer must have ended, milliseconds. */
	deadline = Number.POSITIVE_INFINITY;
	/** Service that the request goes to. */
	service = '';
	/** What was decided and why, for the log line. */
	readonly decisions: string[] = [];
	/** Aborted when the caller has gone away. */
	readonly disconnection = new AbortController();

	readonly incoming: IncomingMessage;
	readonly response: ServerResponse;
	readonly arrivedAt: number;
	readonly metadata: RequestMetadata;
	/** Whether the caller's connection may stay open after the answer. */
	readonly mayKeepAlive: () => boolean;
	private knownFingerprint: string | undefined;

	constructor(origin: Origin) {
		this.incoming = origin.incoming;
		this.response = origin.response;
		this.arrivedAt = origin.arrivedAt;
		this.metadata = origin.metadata;
		this.mayKeepAlive = origin.mayKeepAlive;
	}

	/** Whether the request may run more than once. */
	get isRetryable(): boolean {
		return this.route?.kind === 'idempotent' || (this.route?.kind === 'stream' && this.route.isResumable);
	}

	/** Names the request by what it is, for when it comes again; asked for once its body is read. */
	get fingerprint(): string {
		const {organisation, body, incoming: {method = 'GET', url = '/', headers}} = this;
		this.knownFingerprint ??= fingerprintRequest({
			organisation, method, host: headers.host ?? '', url, body,
		});
		return this.knownFingerprint;
	}

	/** Notes a decision for the log line. */
	noteDecision(decision: string): void {
		this.decisions.push(decision);
	}
}
