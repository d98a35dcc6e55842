import {IncomingMessage, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import {mock} from 'node:test';
import {setImmediate as yieldTurn} from 'node:timers/promises';
import {type Result} from 'neverthrow';
import {GracePeriod} from '../../src/callers/grace-period.js';
import {type Route} from '../../src/fleet/route.js';
import {type Target} from '../../src/fleet/target.js';
import {ForwardExchange} from '../../src/forward/forward-exchange.js';
import {makeForwardPipeline} from '../../src/forward/make-forward-pipeline.js';
import {type SendOutcome} from '../../src/forward/send-outcome.js';
import {type TargetTransport} from '../../src/forward/target-transport.js';
import {type TransportListener} from '../../src/forward/transport-listener.js';
import {type Problem} from '../../src/requests/problem.js';

type Attempt = {
	readonly id: string;
	readonly target: string;
	/** Notes that the target sends something for the request. */
	readonly progress: () => void;
	readonly end: (outcome: SendOutcome) => void;
	/** Why it was aborted; undefined while it was not. */
	abortReason: string | undefined;
	isOver: boolean;
};

type Request = {readonly exchange: ForwardExchange; result: Result<void, Problem> | undefined};
type RequestOptions = Pick<Route, 'kind' | 'isResumable' | 'maximumAttempts'> & {readonly id: string; readonly deadlineMs: number};

const stepMs = 50;

const makeTarget = (id: string, slots: number): Target => ({
	id, service: 'desk', address: '127.0.0.1', port: Number(id.slice(1)), availabilityZone: 'a', slots, isLeaving: false,
});

/** The path of requests from an entry to targets, on a mock clock, with attempts that the scenario ends. */
export class AttemptHarness {
	now = 0;
	readonly grace = new GracePeriod();
	readonly attempts: Attempt[] = [];
	readonly requests = new Map<string, Request>();
	/** Retries that were charged to the retry budget. */
	retries = 0;
	private readonly targets: Target[] = [];
	private readonly pipeline;

	/** @param slack - retries that the budget allows */
	constructor(slack: number) {
		mock.timers.enable({apis: ['setTimeout']});
		this.pipeline = makeForwardPipeline({
			availabilityZone: 'a',
			repeats: {ratio: 0, slack, windowMs: 10_000},
			clock: () => this.now,
			random: () => 0,
			grace: this.grace,
			countRegistered: () => 1,
			isNewFleet: () => true,
			getService: () => undefined,
			onLoadChange: String,
			onRetryRefusal: String,
			onSend: (_service, isRetry) => {
				this.retries += isRetry ? 1 : 0;
			},
			onCrash: String,
			onUrgentReport: String,
			onRefusal: String,
			onLeave: String,
			log: String,
			address: '10.0.0.1:1',
			listPeers: () => [],
			sendToPeer: () => false,
			openTransport: listener => this.openTransport(listener),
		});
	}

	/** Registers targets, each with this number of slots. */
	addTargets(ids: readonly string[], slots = 8): void {
		this.targets.push(...ids.map(id => makeTarget(id, slots)));
		this.pipeline.tracker.directory.replace(this.targets, this.now);
	}

	/** Has a target named a limit of requests a second. */
	limit(id: string, perSecond: number): void {
		this.pipeline.tracker.limits.merge({id, perSecond, agoMs: 0}, this.now);
	}

	/** Removes the registration of a target. */
	removeTarget(id: string): void {
		this.targets.splice(this.targets.findIndex(target => target.id === id), 1);
		this.pipeline.tracker.directory.replace(this.targets, this.now);
	}

	/** Starts a request. */
	async request({id, deadlineMs, ...route}: RequestOptions): Promise<void> {
		const incoming = new IncomingMessage(new Socket());
		const exchange = new ForwardExchange({
			incoming,
			response: new ServerResponse(incoming),
			arrivedAt: this.now,
			metadata: {
				id, deadlineMs, lastEventId: undefined, promptParts: [],
			},
			mayKeepAlive: () => true,
			readAhead: undefined,
			memory: {isShort: false, noteBody: () => undefined, grow: () => true},
			inputFailure: new AbortController().signal,
			disconnection: new AbortController(),
		});
		exchange.route = {
			name: route.kind, host: 'desk.example', prefix: '/', timeoutMs: deadlineMs, targetLatencyMs: 400, destinations: [{service: 'desk', weight: 1}], isPublic: false, ...route,
		};
		exchange.deadline = this.now + deadlineMs;
		const request: Request = {exchange, result: undefined};
		this.requests.set(id, request);
		const serve = async (): Promise<void> => {
			request.result = await this.pipeline.dispatcher.run(exchange);
		};

		void serve();
		await this.settle();
	}

	/** Lets time pass, while targets make progress on the running attempts of these requests. */
	async run(ms: number, progressing: readonly string[] = []): Promise<void> {
		for (const end = this.now + ms; this.now < end;) {
			this.now += stepMs;
			for (const {id, isOver, progress} of this.attempts) {
				if (!isOver && progressing.includes(id)) {
					progress();
				}
			}

			mock.timers.tick(stepMs);
			this.pipeline.tick();
			await this.settle();
		}
	}

	/** Lists the attempts of a request. */
	listAttempts(id: string): Attempt[] {
		return this.attempts.filter(attempt => attempt.id === id);
	}

	/** Lets what was resolved take effect. */
	async settle(): Promise<void> {
		for (let turn = 0; turn < 5; turn++) {
			await yieldTurn();
		}
	}

	close(): void {
		mock.timers.reset();
	}

	private openTransport(listener: TransportListener): TargetTransport {
		return {
			send: async ({exchange, target, signal, onConnection, onProgress}) => new Promise(resolve => {
				const attempt: Attempt = {
					id: exchange.metadata.id!,
					target: target.id,
					abortReason: undefined,
					isOver: false,
					progress() {
						listener.onProgress(target);
						onProgress();
					},
					end(outcome) {
						attempt.isOver = true;
						resolve(outcome);
					},
				};
				this.attempts.push(attempt);
				onConnection(this.now);
				signal.addEventListener('abort', () => {
					attempt.abortReason = String(signal.reason);
					attempt.end({kind: 'lost', reason: attempt.abortReason});
				}, {once: true});
			}),
			check: async () => 'listens',
			drop: String,
			retire: String,
			close: () => undefined,
		};
	}
}
