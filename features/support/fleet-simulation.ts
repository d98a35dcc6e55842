import {Buffer} from 'node:buffer';
import {IncomingMessage, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import {setImmediate as yieldTurn} from 'node:timers/promises';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {getFailureDomain} from '../../src/fleet/get-failure-domain.js';
import {type Target} from '../../src/fleet/target.js';
import {type AnswerMetadata} from '../../src/forward/answer-metadata.js';
import {ForwardExchange} from '../../src/forward/forward-exchange.js';
import {makeCrashRecords} from '../../src/forward/make-crash-records.js';
import {makeForwardPipeline} from '../../src/forward/make-forward-pipeline.js';
import {type SendOutcome} from '../../src/forward/send-outcome.js';
import {type TargetTransport} from '../../src/forward/target-transport.js';
import {type TransportListener} from '../../src/forward/transport-listener.js';
import {MemoryStore} from '../../stand-ins/forward/memory-store.js';
import {SimulatedTarget} from './simulated-target.js';

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
	/** Slack of the retry budget; 90 if absent. */
	readonly slack?: number;
	/** Whether all targets are ranks of one group: when one crashes, all stop until it is back. */
	readonly isGroup?: boolean;
};

/** Identifies an entry and a target incarnation together. */
type EntryAndIncarnation = string;
/** A request that reached a target; time in milliseconds. */
type Arrival = {
	readonly pair: EntryAndIncarnation;
	readonly target: SimulatedTarget;
	readonly at: number;
	readonly isCrashing: boolean;
	readonly isRetry: boolean;
	readonly promptParts: readonly string[];
};
/** A cooldown that a target asked an entry for, from the time of its answer, milliseconds. */
type Cooldown = {readonly pair: EntryAndIncarnation; readonly from: number; readonly until: number};
/** An answer in which an entry read that a target is leaving, milliseconds. */
type Notice = {readonly pair: EntryAndIncarnation; readonly at: number};
/** A refusal: the entry, the time, how long it took, and when the caller may retry, milliseconds. */
type Refusal = {readonly entry: number; readonly at: number; readonly afterMs: number; readonly returnAt: number};
/** A caller's request: time of the first attempt (milliseconds), number of attempts, and whether it was served in the end. */
type Call = {
	readonly askedAt: number;
	readonly body: Uint8Array<ArrayBuffer>;
	readonly promptParts: readonly string[];
	/** Retries after the first attempt. */
	readonly retries: number;
	tries: number;
	isServed: boolean;
};
/** A part of prompts that crashes targets: how long after the arrival of the request, milliseconds. */
type CrashingPart = {readonly afterMs: () => number};

const stepMs = 2;
const tickMs = 100;
/** One-way delay between an entry and a target, milliseconds. */
const latencyMs = 2;
/** Interval of the reports between entries, milliseconds. */
const reportIntervalMs = 200;
/** Time to a stream's first event, interval between events, and duration of the stream, milliseconds. */
const firstEventMs = 150;
const eventMs = 75;
const streamMs = 900;
const deadlineMs = 8000;
/** Time until a crashed target has restarted, milliseconds. */
const restartMs = 1500;
/** Time after a crash at which the other ranks of its group give up what they run, and time until the group is formed again, milliseconds. */
const groupStallMs = 1500;
const groupRestartMs = 4200;
/** Body of the request that crashes targets when they begin to run it. */
const crashingBody = new Uint8Array([255]);
/** Callers wait for the Retry-After time up to this share of their remaining time. */
const obeyedShare = 1 / 3;
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

/** Entries that send callers' streams to targets, in memory and with a simulated clock: the production code path without a network. */
export class FleetSimulation {
	now = 0;
	readonly targets: SimulatedTarget[] = [];
	/** One-way delay between two entries, milliseconds. */
	linkMs = latencyMs;
	/** Whether callers' requests are identical; otherwise each is different. */
	isIdentical = true;
	/** Parts of prompts that crash the targets that begin to run them. */
	readonly crashingParts = new Map<string, CrashingPart>();
	/** The crashes that these parts have caused, milliseconds. */
	readonly partCrashes: Array<{readonly part: string; readonly at: number}> = [];
	/** Draws the shared parts of the prompt of a caller's request. */
	drawPrompt: (() => readonly string[]) | undefined;
	/** An entry that gets a larger share of the requests, 0 to 1; undefined while all get the same. */
	favoured: {readonly entry: number; readonly share: number} | undefined;
	/** Entries whose links to the others are cut; empty when all are linked. */
	cutOff: ReadonlySet<number> = new Set();
	readonly paths: Path[] = [];
	/** Entries registered in the store, as all entries know it. */
	registeredEntries: number;
	readonly arrivals: Arrival[] = [];
	readonly cooldowns: Cooldown[] = [];
	readonly notices: Notice[] = [];
	readonly calls: Call[] = [];
	/** Times at which an entry took a request from a caller, milliseconds; a caller's own retry is a request as well. */
	readonly requestTimes: number[] = [];
	readonly refusals: Refusal[] = [];
	/** Log lines of the entries, and the trails of their requests. */
	readonly lines: string[] = [];
	/** The store, which holds the requests that crash targets. */
	readonly store = new MemoryStore(() => this.now);
	private readonly crashRecords: Array<ReturnType<typeof makeCrashRecords>> = [];
	/** Entries that do not run. */
	private readonly downEntries = new Set<number>();
	/** The callers that wait for an answer, by entry: called when the entry is killed. */
	private readonly waiting = new Map<number, Set<() => void>>();
	/** Requests that have reached a target. */
	private readonly arrivedRequests = new WeakSet<ForwardExchange>();
	private readonly random: () => number;
	/** When the group stopped last, and when it is formed again, milliseconds. */
	private groupStoppedAt = Number.NEGATIVE_INFINITY;
	private groupOpensAt = 0;
	/** Called when the group stops, for each request that runs in it. */
	private readonly onGroupStop = new Set<() => void>();
	private scheduled: Array<{readonly at: number; readonly run: () => void}> = [];
	private nextCallAt = 0;

	constructor(private readonly options: FleetOptions) {
		this.registeredEntries = options.entries;
		const generator = xoroshiro128plus(options.seed);
		this.random = () => uniformFloat64(generator);
		for (let index = 0; index < options.targets; index++) {
			this.targets.push(new SimulatedTarget({
				id: `target-${index}`, service: 'desk', address: '10.0.0.1', port: index + 1, availabilityZone: `zone-${index % zones}`,
				slots, isLeaving: false, bornAt: 1, ...(options.isGroup && {group: 'group'}),
			}));
		}

		for (let index = 0; index < options.entries; index++) {
			this.paths.push(this.openPath(index));
		}

		this.register();
	}

	/** Rate of the callers' requests. */
	get requestsPerSecond(): number {
		return this.options.requestsPerSecond;
	}

	/** Updates the registered targets at all entries. */
	register(): void {
		for (const path of this.paths) {
			const {renewed} = path.tracker.directory.replace(this.targets.map(({target}) => target), this.now);
			for (const {id} of renewed) {
				path.resetTarget(id);
			}
		}
	}

	/** Advances the clock to a time, milliseconds, with callers sending at the configured rate. */
	async advance(until: number): Promise<void> {
		while (this.now < until) {
			this.now += stepMs;
			this.step();
			await yieldTurn();
		}
	}

	/** Kills an entry: its memory is lost, and its callers send their requests again. */
	killEntry(entry: number): void {
		this.downEntries.add(entry);
		this.paths[entry].close();
		const waiting = [...this.waiting.get(entry) ?? []];
		this.waiting.delete(entry);
		for (const onKilled of waiting) {
			onKilled();
		}
	}

	/** Starts an entry that was killed, without memory of its former life. */
	startEntry(entry: number): void {
		this.downEntries.delete(entry);
		this.paths[entry] = this.openPath(entry);
		const path = this.paths[entry];
		void this.readCrashRecords(entry);
		path.tracker.directory.replace(this.targets.map(({target}) => target), this.now);
		for (const other of this.listRunningEntries().filter(index => index !== entry && this.isLinked(index, entry))) {
			path.mergeDigest(`entry-${other}`, this.paths[other].getDigest(true, this.now), other % zones === entry % zones, this.now);
		}
	}

	/** Sends the request that crashes targets, to a random entry unless one is given. */
	sendCrashingRequest(entry = this.draw(this.options.entries)): void {
		const call: Call = {
			askedAt: this.now, body: crashingBody, promptParts: [], retries: 1, tries: 0, isServed: false,
		};
		void this.ask(call, entry);
	}

	/** Sends a request with these shared parts in its prompt, unlike any other; its caller repeats it twice. */
	sendPrompt(promptParts: readonly string[], entry = this.drawEntry()): void {
		const call: Call = {
			askedAt: this.now, body: new Uint8Array(Buffer.from(`prompt ${this.random()}`)), promptParts, retries: 2, tries: 0, isServed: false,
		};
		void this.ask(call, entry);
	}

	/** Crashes a target, and restarts it after a while. */
	crashTarget(target: SimulatedTarget): void {
		target.crash();
		this.after(this.options.isGroup ? groupRestartMs : restartMs, () => {
			target.restart();
			this.register();
			if (this.options.isGroup && this.now >= this.groupOpensAt) {
				for (const index of this.listRunningEntries()) {
					this.paths[index].noteGroupFormed(getFailureDomain(target.target));
				}
			}
		});
		if (this.options.isGroup) {
			this.groupStoppedAt = this.now >= this.groupOpensAt ? this.now : this.groupStoppedAt;
			this.groupOpensAt = this.now + groupRestartMs;
			for (const onStop of this.onGroupStop) {
				onStop();
			}

			this.onGroupStop.clear();
		}
	}

	/** Schedules an action after `ms` milliseconds. */
	after(ms: number, run: () => void): void {
		this.scheduled.push({at: this.now + ms, run});
	}

	/** Returns a random integer below `count`. */
	draw(count: number): number {
		return Math.floor(this.random() * count);
	}

	private step(): void {
		if (this.now % tickMs === 0) {
			for (const index of this.listRunningEntries()) {
				this.paths[index].tick();
				for (const records of this.crashRecords[index]) {
					void records.tick(this.now);
				}
			}
		}

		if (this.now % reportIntervalMs === 0) {
			this.exchangeReports();
		}

		while (this.nextCallAt <= this.now) {
			this.nextCallAt += -Math.log(1 - this.random()) * 1000 / this.options.requestsPerSecond;
			const body = new Uint8Array(this.isIdentical ? [0] : [this.calls.length % 251, Math.floor(this.calls.length / 251), 1]);
			const call: Call = {
				askedAt: this.now, body, promptParts: this.drawPrompt?.() ?? [], retries: 1, tries: 0, isServed: false,
			};
			this.calls.push(call);
			void this.ask(call);
		}

		const dueActions = this.scheduled.filter(({at}) => at <= this.now);
		this.scheduled = this.scheduled.filter(({at}) => at > this.now);
		for (const {run} of dueActions) {
			run();
		}
	}

	private exchangeReports(): void {
		for (const index of this.listRunningEntries()) {
			this.report(index);
		}
	}

	private listRunningEntries(): number[] {
		return [...this.paths.keys()].filter(index => !this.downEntries.has(index));
	}

	private report(index: number): void {
		const {inFlightCounts} = this.paths[index];
		const inFlight = inFlightCounts.getOwnCounts();
		const digest = this.paths[index].getDigest(false, this.now);
		for (const other of this.listRunningEntries()) {
			const path = this.paths[other];
			if (other !== index && this.isLinked(index, other)) {
				path.inFlightCounts.merge(`entry-${index}`, inFlight, this.now);
				path.mergeDigest(`entry-${index}`, digest, other % zones === index % zones, this.now);
			}
		}
	}

	/* Requests a permit from a peer and delivers its answer, if the two are linked both times. */
	private askPermit(entry: number, peer: string, question: PermitQuestion): boolean {
		const grantor = Number(peer.slice('entry-'.length));
		if (!this.isLinked(entry, grantor)) {
			return false;
		}

		this.after(this.linkMs, () => {
			const answer = this.paths[grantor].tracker.permits.handleRequest(question);
			this.after(this.linkMs, () => {
				this.paths[entry].tracker.permits.handleAnswer(answer);
			});
		});
		return true;
	}

	/* Sends a caller's request to a random entry, and retries once after a refusal. */
	private async ask(call: Call, entry = this.drawEntry()): Promise<void> {
		call.tries++;
		if (entry === undefined) {
			return;
		}

		this.requestTimes.push(this.now);
		const incoming = new IncomingMessage(new Socket());
		const exchange = new ForwardExchange({
			incoming,
			response: new ServerResponse(incoming),
			arrivedAt: this.now,
			metadata: {
				id: 'request', deadlineMs, lastEventId: undefined, promptParts: call.promptParts,
			},
			mayKeepAlive: () => true,
			readAhead: undefined,
			memory: {isShort: false, noteBody: () => undefined, grow: () => true},
			inputFailure: new AbortController().signal,
			disconnection: new AbortController(),
		});
		exchange.route = makeRoute(this.options.maximumAttempts ?? 2);
		exchange.deadline = call.askedAt + deadlineMs;
		exchange.body = call.body;
		const result = await this.runAtEntry(entry, exchange);
		if (result === undefined) {
			this.askAgain(call, 0);
			return;
		}

		this.lines.push(exchange.decisions.join('; '));
		if (result.isOk()) {
			call.isServed = true;
			return;
		}

		this.refusals.push({
			entry, at: this.now, afterMs: this.now - exchange.arrivedAt, returnAt: this.now + (result.error.options.retryAfterMs ?? 0),
		});
		const afterMs = Math.min(result.error.options.retryAfterMs ?? 0, (exchange.deadline - this.now) * obeyedShare);
		this.askAgain(call, afterMs);
	}

	private askAgain(call: Call, afterMs: number): void {
		if (call.tries <= call.retries) {
			this.after(afterMs, () => {
				void this.ask(call);
			});
		}
	}

	/* Draws a running entry; undefined when there is none. */
	private drawEntry(): number | undefined {
		if (this.favoured && this.random() < this.favoured.share) {
			return this.favoured.entry;
		}

		const running = this.listRunningEntries();
		return running.length === this.options.entries ? this.draw(running.length) : running[this.draw(Math.max(1, running.length))];
	}

	/* Serves a request at an entry; undefined when the entry is killed meanwhile. */
	private async runAtEntry(entry: number, exchange: ForwardExchange): Promise<Awaited<ReturnType<Path['dispatcher']['run']>> | undefined> {
		const waiting = this.waiting.get(entry) ?? new Set<() => void>();
		this.waiting.set(entry, waiting);
		let handleKill = (): void => undefined;
		const killed = new Promise<undefined>(resolve => {
			handleKill = () => {
				resolve(undefined);
			};
		});
		waiting.add(handleKill);
		const result = await Promise.race([this.paths[entry].dispatcher.run(exchange), killed]);
		waiting.delete(handleKill);
		return result;
	}

	private isLinked(one: number, other: number): boolean {
		return this.cutOff.has(one) === this.cutOff.has(other);
	}

	private openPath(entry: number): Path {
		const isFirstLife = this.paths[entry] === undefined;
		const path: Path = makeForwardPipeline({
			availabilityZone: `zone-${entry % zones}`,
			repeats: {ratio: 0.2, slack: this.options.slack ?? 90, windowMs: 10_000},
			clock: () => this.now,
			random: this.random,
			countRegistered: () => this.registeredEntries,
			isNewFleet: () => isFirstLife,
			getService: () => undefined,
			onLoadChange: () => undefined,
			onRetryRefusal: () => undefined,
			onSend: () => undefined,
			onCrash: () => undefined,
			onUrgentReport: () => {
				this.after(latencyMs, () => {
					this.report(entry);
				});
			},
			onRefusal: () => undefined,
			onLeave: target => {
				path.tracker.directory.noteDeparture(target, this.now);
			},
			log: line => {
				this.lines.push(line);
			},
			address: `entry-${entry}`,
			listPeers: () => this.listRunningEntries().filter(other => other !== entry && this.isLinked(entry, other)).map(other => `entry-${other}`),
			sendToPeer: (peer, question) => this.askPermit(entry, peer, question),
			openTransport: listener => ({
				send: async options => path === this.paths[entry] && !this.downEntries.has(entry) ? this.send(entry, options, listener) : this.makeDeadSend(),
				check: async meant => this.targets.find(({target}) => target.id === meant.id)!.isDown ? 'refuses' : 'listens',
				drop: () => undefined,
				retire: () => undefined,
				close: () => undefined,
			}),
		});
		this.crashRecords[entry] = makeCrashRecords(path.crashes, {registry: this.store.createClient(`entry-${entry}`), log: line => this.lines.push(line)});
		return path;
	}

	/* An entry reads the store as it starts, and writes there what it has found. */
	private async readCrashRecords(entry: number): Promise<void> {
		const answer = await this.store.createClient(`entry-${entry}`).list('');
		const items = answer.isOk() ? answer.value.items : [];
		for (const records of this.crashRecords[entry]) {
			records.read({list: prefix => items.filter(({key}) => key.startsWith(prefix))}, this.now);
		}
	}

	/* A process that was killed sends nothing more. */
	private async makeDeadSend(): Promise<SendOutcome> {
		return new Promise<SendOutcome>(() => {
			// Never resolved.
		});
	}

	private async send(entry: number, options: SendOptions, listener: TransportListener): Promise<SendOutcome> {
		const sentAt = this.now;
		return new Promise(resolve => {
			this.after(latencyMs, () => {
				const target = this.targets.find(other => other.target.id === options.target.id)!;
				const pair = `${entry} ${target.target.id} ${target.target.bornAt}`;
				if (target.isDown) {
					resolve({kind: 'not-run', reason: 'not sent: connection refused', wasSent: false});
					return;
				}

				this.arrivals.push({
					pair,
					target,
					at: this.now,
					isCrashing: options.exchange.body === crashingBody,
					isRetry: this.arrivedRequests.has(options.exchange),
					promptParts: options.exchange.metadata.promptParts,
				});
				this.arrivedRequests.add(options.exchange);
				const refused = target.refuse(this.random());
				if (!refused) {
					this.serve(target, pair, options, {sentAt, listener, resolve});
					return;
				}

				if (refused.metadata.retryAfterMs !== undefined) {
					this.cooldowns.push({pair, from: this.now, until: this.now + refused.metadata.retryAfterMs});
				}

				this.after(latencyMs + refused.delayMs, () => {
					this.deliverHead(pair, {target: options.target, sentAt}, refused.metadata, listener);
					resolve(refused.outcome);
				});
			});
		});
	}

	private serve(target: SimulatedTarget, pair: EntryAndIncarnation, {target: meant, exchange, delivery, signal, onProgress, onAnswerPart}: SendOptions, {sentAt, listener, resolve}: Receiver): void {
		if (target.isBreakingOff) {
			this.after(latencyMs, () => {
				resolve({kind: 'lost', reason: 'other side closed', isConnectionClosed: true});
			});
			return;
		}

		if (this.now < this.groupOpensAt) {
			this.refuseWhileStopped(resolve);
			return;
		}

		const sent = {target: meant, sentAt};
		const state: {isLost: boolean; answeredAt?: number} = {isLost: false};
		const end = target.run(() => {
			state.isLost = true;
			const answeringMs = state.answeredAt === undefined ? undefined : this.now - state.answeredAt;
			resolve({
				kind: 'lost', reason: 'other side closed', isConnectionClosed: true, answeringMs,
			});
		});
		const stop = (): void => {
			state.isLost = true;
			end();
			if (state.answeredAt === undefined) {
				this.refuseWhileStopped(resolve);
				return;
			}

			const {answeredAt} = state;
			this.after(groupStallMs, () => {
				resolve({
					kind: 'lost', reason: 'read ECONNRESET', isConnectionClosed: true, answeringMs: this.now - answeredAt,
				});
			});
		};

		this.onGroupStop.add(stop);
		this.crashByPart(target, exchange.metadata.promptParts, state);
		this.after(firstEventMs, () => {
			if (state.isLost) {
				return;
			}

			this.deliverHead(pair, sent, target.answerMetadata, listener);
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
					onAnswerPart();
				}
			});
		}

		this.after(streamMs, () => {
			this.onGroupStop.delete(stop);
			if (state.isLost) {
				return;
			}

			end();
			resolve(signal.aborted ? {kind: 'lost', reason: String(signal.reason)} : {kind: 'streamed'});
		});
	}

	/* Crashes a target that begins to run a request with a part that crashes targets. */
	private crashByPart(target: SimulatedTarget, promptParts: readonly string[], state: {readonly isLost: boolean}): void {
		const part = promptParts.find(id => this.crashingParts.has(id));
		if (part !== undefined) {
			this.after(this.crashingParts.get(part)!.afterMs(), () => {
				if (!state.isLost) {
					this.partCrashes.push({part, at: this.now});
					this.crashTarget(target);
				}
			});
		}
	}

	/* A rank of a group that has stopped keeps requests waiting at first, and then refuses them. */
	private refuseWhileStopped(resolve: Receiver['resolve']): void {
		this.after(Math.max(latencyMs, this.groupStoppedAt + groupStallMs - this.now), () => {
			resolve({
				kind: 'not-run', reason: 'its group has stopped', wasSent: true, cause: 'group-down',
			});
		});
	}

	private deliverHead(pair: EntryAndIncarnation, {target, sentAt}: Sent, marks: AnswerMetadata, listener: TransportListener): void {
		listener.onHead(target, marks, sentAt);
		if (marks.isLeaving) {
			this.notices.push({pair, at: this.now});
		}
	}
}
