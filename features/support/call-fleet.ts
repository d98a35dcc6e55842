import {IncomingMessage, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import {setImmediate as yieldTurn} from 'node:timers/promises';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type Target} from '../../src/fleet/target.js';
import {type AnswerMetadata} from '../../src/forward/answer-metadata.js';
import {ForwardExchange} from '../../src/forward/forward-exchange.js';
import {makeForwardPipeline} from '../../src/forward/make-forward-pipeline.js';
import {type SendOutcome} from '../../src/forward/send-outcome.js';
import {type TargetTransport} from '../../src/forward/target-transport.js';
import {type TransportListener} from '../../src/forward/transport-listener.js';
import {FleetTarget} from './fleet-target.js';

type Path = ReturnType<typeof makeForwardPipeline>;
type SendOptions = Parameters<TargetTransport['send']>[0];
type PermitQuestion = Parameters<Path['tracker']['permits']['handleRequest']>[0];
type Sent = {readonly target: Target; readonly sentAt: number};
type Receiver = {readonly sentAt: number; readonly listener: TransportListener; readonly resolve: (outcome: SendOutcome) => void};
type FleetOptions = {
	readonly entries: number;
	readonly targets: number;
	readonly requestsPerSecond: number;
	readonly seed: number;
	readonly maximumAttempts?: number;
};

/** One entry and one life of a target, named together. */
type Pair = string;
/** A request that has reached a target. */
type Arrival = {readonly pair: Pair; readonly target: FleetTarget; readonly at: number; readonly isCrashing: boolean};
/** What a target has asked an entry for, from when it answered. */
type Rest = {readonly pair: Pair; readonly from: number; readonly until: number};
/** When an entry first read that a target leaves. */
type Notice = {readonly pair: Pair; readonly at: number};
/** A refusal: at which entry, when, how long that had taken, and when the caller was told to come back. */
type Refusal = {readonly entry: number; readonly at: number; readonly afterMs: number; readonly returnAt: number};
/** A caller's request: when it was asked first, how often, and whether it was served in the end. */
type Call = {readonly askedAt: number; readonly body: Uint8Array<ArrayBuffer>; tries: number; isServed: boolean};

const turnMs = 2;
const tickMs = 100;
/** One way between an entry and a target. */
const latencyMs = 2;
/** Entries hear what the others have in flight so late. */
const reportMs = 200;
/** A stream's first event comes after this time in a slot, the others one after the other, and it ends with the last. */
const firstEventMs = 150;
const eventMs = 75;
const streamMs = 900;
const deadlineMs = 8000;
/** A target that has crashed is back after this time. */
const restartMs = 1500;
/** The request that crashes its targets, as they begin to run it. */
const crashingBody = new Uint8Array([255]);
/** Callers keep to the time that they are told up to this share of what they have left. */
const honouredShare = 1 / 3;
const slots = 8;
const zones = 3;

const makeRoute = (maximumAttempts: number) => ({
	name: 'draft',
	host: 'desk.example',
	prefix: '/stream/',
	kind: 'stream' as const,
	timeoutMs: deadlineMs,
	targetLatencyMs: 400,
	destinations: [{service: 'desk', weight: 1}],
	maximumAttempts,
	isPublic: true,
	isResumable: true,
});

/** Entries that send callers' streams to targets, all in memory and by one clock: the product's path without a network. */
export class CallFleet {
	now = 0;
	readonly targets: FleetTarget[] = [];
	/** One way between two entries. */
	linkMs = latencyMs;
	/** Whether callers' requests all look alike; each is another one if not. */
	isAlike = true;
	/** Entries that hear only each other, for now; empty when all hear all. */
	cutOff: ReadonlySet<number> = new Set();
	readonly paths: Path[] = [];
	readonly arrivals: Arrival[] = [];
	readonly rests: Rest[] = [];
	readonly notices: Notice[] = [];
	readonly calls: Call[] = [];
	readonly refusals: Refusal[] = [];
	/** What entries log, of targets and in the lines of requests. */
	readonly lines: string[] = [];
	private readonly random: () => number;
	private due: Array<{readonly at: number; readonly run: () => void}> = [];
	private nextCallAt = 0;

	constructor(private readonly options: FleetOptions) {
		const generator = xoroshiro128plus(options.seed);
		this.random = () => uniformFloat64(generator);
		for (let index = 0; index < options.targets; index++) {
			this.targets.push(new FleetTarget({
				id: `target-${index}`, service: 'desk', address: '10.0.0.1', port: index + 1, availabilityZone: `zone-${index % zones}`, slots, isLeaving: false, bornAt: 1,
			}));
		}

		for (let index = 0; index < options.entries; index++) {
			this.paths.push(this.openPath(index));
		}

		this.register();
	}

	/** Has all entries hear which targets are registered. */
	register(): void {
		for (const path of this.paths) {
			const {renewed} = path.tracker.directory.replace(this.targets.map(({target}) => target), this.now, false);
			for (const {id} of renewed) {
				path.resetTarget(id);
			}
		}
	}

	/** Lets time pass up to a moment, milliseconds, with callers that ask at the fleet's rate. */
	async pass(until: number): Promise<void> {
		while (this.now < until) {
			this.now += turnMs;
			this.turn();
			await yieldTurn();
		}
	}

	/** A caller asks for what crashes the targets that run it, at an entry that is drawn unless one is named. */
	crash(entry = this.draw(this.options.entries)): void {
		const call: Call = {
			askedAt: this.now, body: crashingBody, tries: 0, isServed: false,
		};
		void this.ask(call, entry);
	}

	/** A target crashes, and is back a little later. */
	crashTarget(target: FleetTarget): void {
		target.crash();
		this.after(restartMs, () => {
			target.restart();
			this.register();
		});
	}

	/** Draws a number below `count`. */
	draw(count: number): number {
		return Math.floor(this.random() * count);
	}

	private turn(): void {
		if (this.now % tickMs === 0) {
			for (const path of this.paths) {
				path.tick();
			}
		}

		if (this.now % reportMs === 0) {
			this.exchangeReports();
		}

		while (this.nextCallAt <= this.now) {
			this.nextCallAt += -Math.log(1 - this.random()) * 1000 / this.options.requestsPerSecond;
			const body = new Uint8Array(this.isAlike ? [0] : [this.calls.length % 251, Math.floor(this.calls.length / 251), 1]);
			const call: Call = {
				askedAt: this.now, body, tries: 0, isServed: false,
			};
			this.calls.push(call);
			void this.ask(call);
		}

		const ready = this.due.filter(({at}) => at <= this.now);
		this.due = this.due.filter(({at}) => at > this.now);
		for (const {run} of ready) {
			run();
		}
	}

	private exchangeReports(): void {
		for (const index of this.paths.keys()) {
			this.report(index);
		}
	}

	private report(index: number): void {
		const {board} = this.paths[index];
		const inFlight = board.getOwn();
		const news = this.paths[index].getDigest(false, this.now);
		for (const [other, path] of this.paths.entries()) {
			if (other !== index && this.isLinked(index, other)) {
				path.board.merge(`entry-${index}`, inFlight, this.now);
				path.mergeDigest(`entry-${index}`, news, other % zones === index % zones, this.now);
			}
		}
	}

	/* Asks an entry for a permit and brings its answer back, if the two are linked both times. */
	private askPermit(entry: number, peer: string, question: PermitQuestion): boolean {
		const keeper = Number(peer.slice('entry-'.length));
		if (!this.isLinked(entry, keeper)) {
			return false;
		}

		this.after(this.linkMs, () => {
			const answer = this.paths[keeper].tracker.permits.handleRequest(question);
			this.after(this.linkMs, () => {
				this.paths[entry].tracker.permits.handleAnswer(answer);
			});
		});
		return true;
	}

	/* A caller asks some entry, and once more when it is told to come back. */
	private async ask(call: Call, entry = this.draw(this.options.entries)): Promise<void> {
		call.tries++;
		const incoming = new IncomingMessage(new Socket());
		const exchange = new ForwardExchange({
			incoming,
			response: new ServerResponse(incoming),
			arrivedAt: this.now,
			metadata: {id: 'request', deadlineMs, lastEventId: undefined},
			mayKeepAlive: () => true,
		});
		exchange.route = makeRoute(this.options.maximumAttempts ?? 2);
		exchange.deadline = call.askedAt + deadlineMs;
		exchange.body = call.body;
		const result = await this.paths[entry].dispatcher.run(exchange);
		this.lines.push(exchange.decisions.join('; '));
		if (result.isOk()) {
			call.isServed = true;
			return;
		}

		this.refusals.push({
			entry, at: this.now, afterMs: this.now - exchange.arrivedAt, returnAt: this.now + (result.error.options.retryAfterMs ?? 0),
		});
		const afterMs = Math.min(result.error.options.retryAfterMs ?? 0, (exchange.deadline - this.now) * honouredShare);
		if (call.tries === 1) {
			this.after(afterMs, () => {
				void this.ask(call);
			});
		}
	}

	private isLinked(one: number, other: number): boolean {
		return this.cutOff.has(one) === this.cutOff.has(other);
	}

	private after(ms: number, run: () => void): void {
		this.due.push({at: this.now + ms, run});
	}

	private openPath(entry: number): Path {
		const path: Path = makeForwardPipeline({
			availabilityZone: `zone-${entry % zones}`,
			repeats: {ratio: 0.2, slack: 90, windowMs: 10_000},
			clock: () => this.now,
			random: this.random,
			countRegistered: () => this.options.entries,
			getService: () => undefined,
			onLoadChange: () => undefined,
			onSend: () => undefined,
			onCrashFound: () => {
				this.after(latencyMs, () => {
					this.report(entry);
				});
			},
			onRefusal: () => undefined,
			onLeave: target => {
				path.tracker.directory.noteLeave(target, this.now);
			},
			log: line => {
				this.lines.push(line);
			},
			address: `entry-${entry}`,
			listPeers: () => [...this.paths.keys()].filter(other => other !== entry && this.isLinked(entry, other)).map(other => `entry-${other}`),
			sendToPeer: (peer, question) => this.askPermit(entry, peer, question),
			openTransport: listener => ({
				send: async options => this.send(entry, options, listener),
				check: async meant => this.targets.find(({target}) => target.id === meant.id)!.isDown ? 'refuses' : 'listens',
				drop: () => undefined,
				close: () => undefined,
			}),
		});
		return path;
	}

	private async send(entry: number, options: SendOptions, listener: TransportListener): Promise<SendOutcome> {
		const sentAt = this.now;
		return new Promise(resolve => {
			this.after(latencyMs, () => {
				const target = this.targets.find(other => other.target.id === options.target.id)!;
				const pair = `${entry} ${target.target.id} ${target.target.bornAt}`;
				if (target.isDown) {
					resolve({kind: 'not-run', reason: 'not sent: nobody listens', wasSent: false});
					return;
				}

				this.arrivals.push({
					pair, target, at: this.now, isCrashing: options.exchange.body === crashingBody,
				});
				const refused = target.refuse(this.random());
				if (!refused) {
					this.serve(target, pair, options, {sentAt, listener, resolve});
					return;
				}

				if (refused.marks.retryAfterMs !== undefined) {
					this.rests.push({pair, from: this.now, until: this.now + refused.marks.retryAfterMs});
				}

				this.after(latencyMs + refused.lateMs, () => {
					this.tell(pair, {target: options.target, sentAt}, refused.marks, listener);
					resolve(refused.outcome);
				});
			});
		});
	}

	private serve(target: FleetTarget, pair: Pair, {target: meant, exchange, delivery, signal, onProgress}: SendOptions, {sentAt, listener, resolve}: Receiver): void {
		const sent = {target: meant, sentAt};
		const state: {isLost: boolean; answeredAt?: number} = {isLost: false};
		const end = target.run(() => {
			state.isLost = true;
			const answeringMs = state.answeredAt === undefined ? undefined : this.now - state.answeredAt;
			resolve({
				kind: 'lost', reason: 'other side closed', isConnectionClosed: true, answeringMs,
			});
		});
		this.after(firstEventMs, () => {
			if (state.isLost) {
				return;
			}

			this.tell(pair, sent, target.marks, listener);
			state.answeredAt = this.now;
			delivery.start(200, []);
			if (exchange.body === crashingBody) {
				this.crashTarget(target);
			}
		});
		for (let eventAfterMs = firstEventMs; eventAfterMs < streamMs; eventAfterMs += eventMs) {
			this.after(eventAfterMs, () => {
				if (!state.isLost) {
					listener.onProgress(meant);
					onProgress();
				}
			});
		}

		this.after(streamMs, () => {
			end();
			resolve(signal.aborted ? {kind: 'lost', reason: String(signal.reason)} : {kind: 'streamed'});
		});
	}

	private tell(pair: Pair, {target, sentAt}: Sent, marks: AnswerMetadata, listener: TransportListener): void {
		listener.onHead(target, marks, sentAt);
		if (marks.isLeaving) {
			this.notices.push({pair, at: this.now});
		}
	}
}
