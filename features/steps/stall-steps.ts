import assert from 'node:assert/strict';
import {IncomingMessage, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import {Given, Then, When} from '@cucumber/cucumber';
import {type Result} from 'neverthrow';
import {InFlightCounts} from '../../src/balance/in-flight-counts.js';
import {ProbeBudget} from '../../src/balance/probe-budget.js';
import {SharedRetryBudget} from '../../src/balance/shared-retry-budget.js';
import {ServiceBreaker} from '../../src/balance/service-breaker.js';
import {TargetHealth} from '../../src/balance/target-health.js';
import {GracePeriod} from '../../src/callers/grace-period.js';
import {getFailureDomain} from '../../src/fleet/get-failure-domain.js';
import {TargetDirectory} from '../../src/fleet/target-directory.js';
import {type Target} from '../../src/fleet/target.js';
import {CrashDetector} from '../../src/forward/crash-detector.js';
import {ForwardDispatcher} from '../../src/forward/forward-dispatcher.js';
import {ForwardExchange} from '../../src/forward/forward-exchange.js';
import {StreamAdmission} from '../../src/forward/stream-admission.js';
import {TargetTracker} from '../../src/forward/target-tracker.js';
import {StallDetector} from '../../src/forward/stall-detector.js';
import {StopAdmission} from '../../src/forward/stop-admission.js';
import {type Problem} from '../../src/requests/problem.js';
import {type SystemWorld} from '../support/system-world.js';

const tickMs = 50;
const target = {
	id: 'target-1', service: 'desk', address: '127.0.0.1', port: 1, availabilityZone: 'a', slots: 8, isLeaving: false,
};
const route = {
	name: 'draft',
	host: 'desk.example',
	prefix: '/stream/',
	kind: 'stream' as const,
	timeoutMs: 8000,
	targetLatencyMs: 400,
	destinations: [{service: 'desk', weight: 1}],
	maximumAttempts: 2,
	isPublic: false,
	isResumable: true,
};

/** Streams at one target, watched by a stall detector whose clock the scenario advances. */
class Streams {
	now = 0;
	readonly dropped: string[] = [];
	readonly stopped = new Set<string>();
	/** Gaps between events during which the service was considered stopped. */
	timesStopped = 0;
	readonly aborts: AbortController[] = [];
	readonly waitingForCaller: boolean[] = [];
	/** Whether requests can be sent to another target. */
	isMovable = true;
	/** Whether the streams were moved here from silent targets. */
	hasMoved = false;
	/** Time before which idle connections are to be closed, milliseconds. */
	retiredBefore = Number.NEGATIVE_INFINITY;
	/** When a report of a peer last arrived, milliseconds; undefined without peers. */
	lastReportAt: number | undefined;
	readonly detector: StallDetector;
	private readonly inFlightCounts = new InFlightCounts();
	private readonly targets: readonly Target[];
	private readonly watches: Array<ReturnType<StallDetector['watch']>> = [];

	constructor(streams: number, targets = 1) {
		this.targets = Array.from({length: targets}, (_, index) => ({...target, id: `target-${index + 1}`}));
		this.detector = new StallDetector({
			inFlightCounts: this.inFlightCounts,
			health: new TargetHealth(),
			clock: () => this.now,
			log() {
				// The log is not checked here.
			},
			onSilentConnection: id => {
				this.dropped.push(id);
			},
			onStopped: service => {
				this.stopped.add(service);
			},
			onSuspicion: before => {
				this.retiredBefore = before;
			},
			getLastReportAt: () => this.lastReportAt,
		});
		for (let index = 0; index < streams; index++) {
			this.start(index);
		}
	}

	/** Starts a request on a connection that last proved to work at `aliveAt`, milliseconds; on a new one by default. */
	start(index: number, aliveAt = this.now): void {
		const abort = new AbortController();
		const to = this.getTarget(index);
		this.aborts.push(abort);
		this.waitingForCaller.push(false);
		this.inFlightCounts.noteStart(to.id, this.now);
		const watch = this.detector.watch({
			target: to, move: reason => this.move(abort, reason), hasMoved: this.hasMoved, isWaitingForCaller: () => this.waitingForCaller[index],
		});
		watch.noteConnection(aliveAt);
		this.watches.push(watch);
	}

	progress(index: number): void {
		this.inFlightCounts.noteProgress(this.getTarget(index).id, this.now);
		this.watches[index].noteProgress();
	}

	pass(ms: number, live: readonly number[]): void {
		for (const end = this.now + ms; this.now < end; this.now += tickMs) {
			for (const index of live) {
				this.progress(index);
			}

			this.detector.tick();
		}
	}

	private move(abort: AbortController, reason: string): boolean {
		if (this.isMovable) {
			abort.abort(reason);
		}

		return this.isMovable;
	}

	private getTarget(index: number): Target {
		return this.targets[index % this.targets.length];
	}
}

const getStreams = (world: SystemWorld): Streams => world.notes.get('streams') as Streams;

Given('two streams at one target, {word} with their/its first event', function (this: SystemWorld, which: string) {
	const streams = new Streams(2);
	streams.progress(0);
	if (which === 'both') {
		streams.progress(1);
	}

	this.notes.set('streams', streams);
});

Given('no other attempt is possible', function (this: SystemWorld) {
	getStreams(this).isMovable = false;
});

When('another attempt is possible', function (this: SystemWorld) {
	getStreams(this).isMovable = true;
});

Then('its connection has been reported as silent once', function (this: SystemWorld) {
	assert.deepEqual(getStreams(this).dropped, [target.id]);
});

Given('two more streams there that were moved from a silent target', function (this: SystemWorld) {
	const streams = getStreams(this);
	streams.hasMoved = true;
	for (const index of [2, 3]) {
		streams.start(index);
		streams.progress(index);
	}
});

Given('{int} streams at one target, all with their first event', function (this: SystemWorld, count: number) {
	const streams = new Streams(count);
	for (let index = 0; index < count; index++) {
		streams.progress(index);
	}

	this.notes.set('streams', streams);
});

Given('{int} streams at four targets, all with their first event', function (this: SystemWorld, count: number) {
	const streams = new Streams(count, 4);
	this.notes.set('streams', streams);
	streams.pass(tickMs, [...streams.aborts.keys()]);
});

/* What happens in each step while none of the streams gets an event. */
const evidences: Readonly<Record<string, (streams: Streams, stoppedMs: number) => void>> = {
	'a peer still reports it as active'(streams) {
		streams.lastReportAt = streams.now;
		streams.detector.notePeerActivity(['desk'], streams.now);
	},
	'the links to peers are silent too'(streams, stoppedMs) {
		streams.lastReportAt = streams.now - stoppedMs;
	},
	'peers report something else'(streams) {
		streams.lastReportAt = streams.now;
		streams.detector.notePeerActivity(['other'], streams.now);
	},
	'a peer reported it as active 250 ms in'(streams, stoppedMs) {
		streams.lastReportAt = streams.now;
		if (stoppedMs <= 250) {
			streams.detector.notePeerActivity(['desk'], streams.now);
		}
	},
};

When('none gets an event for {int} ms, and {string}', function (this: SystemWorld, ms: number, evidence: string) {
	const streams = getStreams(this);
	for (let stoppedMs = 0; stoppedMs < ms; stoppedMs += tickMs) {
		evidences[evidence](streams, stoppedMs);
		streams.pass(tickMs, []);
	}
});

Then('{int} of them is/are aborted', function (this: SystemWorld, count: number) {
	assert.equal(getStreams(this).aborts.filter(({signal}) => signal.aborted).length, count);
});

When('the last {int} stop within {int} ms, and the others go on for {int} ms', function (this: SystemWorld, count: number, withinMs: number, ms: number) {
	const streams = getStreams(this);
	const all = [...streams.aborts.keys()].slice(0, 6);
	streams.pass(withinMs, all.slice(0, -1));
	const newAt = this.notes.get('opened after') as number | undefined;
	const live = all.slice(0, all.length - count);
	if (newAt !== undefined) {
		const stoppedAt = streams.now;
		streams.pass(newAt, live);
		streams.start(all.length, this.notes.get('is used') === true ? stoppedAt : undefined);
	}

	streams.pass(ms - (newAt ?? 0), live);
});

Given('a request is sent {int} ms after the last 4 have stopped, on a connection used before', function (this: SystemWorld, ms: number) {
	this.notes.set('opened after', ms);
	this.notes.set('is used', true);
});

Given('{int} streams at four targets that were moved there, all with their first event', function (this: SystemWorld, count: number) {
	const streams = new Streams(0, 4);
	streams.hasMoved = true;
	for (let index = 0; index < count; index++) {
		streams.start(index);
	}

	this.notes.set('streams', streams);
	streams.pass(tickMs, [...streams.aborts.keys()]);
});

Given('the callers of the last {int} do not read', function (this: SystemWorld, count: number) {
	getStreams(this).waitingForCaller.fill(true, -count);
});

Given('a stream at each of two targets, of which only the first makes progress, for {int} ms', function (this: SystemWorld, ms: number) {
	const streams = new Streams(2, 2);
	this.notes.set('streams', streams);
	streams.isMovable = false;
	streams.progress(0);
	streams.progress(1);
	streams.pass(ms, [0]);
});

When('another request is sent to the second, and {int} ms pass', function (this: SystemWorld, ms: number) {
	const streams = getStreams(this);
	streams.start(3);
	streams.isMovable = true;
	streams.pass(ms, [0]);
});

When('the silent one gets an event', function (this: SystemWorld) {
	getStreams(this).progress(1);
});

Given('a request is sent on a connection opened {int} ms after the last 4 have stopped', function (this: SystemWorld, ms: number) {
	this.notes.set('opened after', ms);
});

When('the process is paused for {int} ms, and the first {int} streams are read 100 ms before the others', function (this: SystemWorld, ms: number, first: number) {
	const streams = getStreams(this);
	const all = [...streams.aborts.keys()];
	streams.lastReportAt = streams.now;
	streams.now += ms;
	streams.detector.noteSilentLink(streams.lastReportAt);
	streams.pass(100, all.slice(0, first));
	streams.pass(500, all);
});

Then('idle connections from before are closed: {word}', function (this: SystemWorld, closed: string) {
	assert.equal(Number.isFinite(getStreams(this).retiredBefore), closed === 'yes');
});

When('none gets an event for {int} ms', function (this: SystemWorld, ms: number) {
	getStreams(this).pass(ms, []);
});

When('each gets an event each {int} ms, {int} times', function (this: SystemWorld, ms: number, times: number) {
	const streams = getStreams(this);
	for (let time = 0; time < times; time++) {
		streams.stopped.clear();
		streams.pass(ms, []);
		streams.timesStopped += streams.stopped.size;
		for (const index of streams.aborts.keys()) {
			streams.progress(index);
		}
	}
});

Then('the service is considered stopped at most {int} times', function (this: SystemWorld, most: number) {
	const {timesStopped} = getStreams(this);
	assert.ok(timesStopped <= most, String(timesStopped));
});

Then('the service {word} considered stopped', function (this: SystemWorld, verb: string) {
	assert.equal(getStreams(this).stopped.has(target.service), verb === 'is');
});

Given('the caller of the second does not read', function (this: SystemWorld) {
	getStreams(this).waitingForCaller[1] = true;
});

When('one gets an event each 50 ms and the other none, for {int} ms', function (this: SystemWorld, ms: number) {
	getStreams(this).pass(ms, [0]);
});

When('neither gets an event for {int} ms', function (this: SystemWorld, ms: number) {
	getStreams(this).pass(ms, []);
});

Then('only the silent one is aborted, and idle connections to that target are closed', function (this: SystemWorld) {
	const {aborts, dropped} = getStreams(this);
	assert.deepEqual(aborts.map(({signal}) => signal.aborted), [false, true]);
	assert.ok(dropped.includes(target.id));
});

Then('neither is aborted', function (this: SystemWorld) {
	const {aborts, dropped} = getStreams(this);
	assert.deepEqual(aborts.map(({signal}) => signal.aborted), [false, false]);
	assert.deepEqual(dropped, []);
});

Given('a service that has been down for {int} ms', function (this: SystemWorld, ms: number) {
	const serviceBreaker = new ServiceBreaker(String);
	serviceBreaker.noteDown(route.destinations[0].service, -ms, 'as the scenario says');
	this.notes.set('serviceBreaker', serviceBreaker);
});

/* Sends a request of a caller that has 5 of 8 seconds left, and notes its result and the targets it was sent to. */
const dispatch = async (world: SystemWorld, hasDisconnected: boolean, targets: readonly Target[] = [target]): Promise<void> => {
	const sent: string[] = [];
	const clock = (): number => 0;
	const inFlightCounts = new InFlightCounts();
	const tracker = new TargetTracker({
		electEntry: () => '',
		address: '', listPeers: () => [], countRegistered: () => 1, sendToPeer: () => false, clock, countInFlight: () => 0, onRefusal: String, onLeave: String, log: String,
	});
	const {directory, health} = tracker;
	directory.replace(targets, 0);
	const dispatcher = new ForwardDispatcher({
		async send(options) {
			sent.push(options.target.id);
			return {kind: 'lost', reason: 'not checked here'};
		},
		tracker,
		crashes: new CrashDetector({
			check: async () => 'listens', health, isElected: () => true, onCrash: String, onUrgentReport: () => undefined, onLoss: String, clock, log: String,
		}),
		inFlightCounts,
		serviceBreaker: world.notes.get('serviceBreaker') as ServiceBreaker,
		probes: new ProbeBudget(),
		retryBudget: new SharedRetryBudget({
			ratio: 0.2, slack: 90, windowMs: 10_000, countEntries: () => 1, startedAt: 0, isNewFleet: () => false, onRefusal: String, log: String,
		}),
		stops: new StopAdmission(new GracePeriod()),
		stalls: new StallDetector({
			inFlightCounts,
			health,
			clock,
			log: String,
			onSilentConnection: String,
			onStopped: String,
		}),
		admission: new StreamAdmission({
			inFlightCounts, listAvailable: service => directory.list(service), isHealthy: () => true, getService: () => undefined,
		}),
		availabilityZone: 'a',
		clock,
		random: () => 0,
		countRegistered: () => 1,
		onSend: String,
		log: String,
	});
	const incoming = new IncomingMessage(new Socket());
	const exchange = new ForwardExchange({
		incoming,
		response: new ServerResponse(incoming),
		arrivedAt: 0,
		metadata: {
			id: 'the-request', deadlineMs: 5000, lastEventId: undefined, promptParts: [],
		},
		mayKeepAlive: () => true,
		readAhead: undefined,
		memory: {isShort: false, noteBody: () => undefined, grow: () => true},
		inputFailure: new AbortController().signal,
		disconnection: new AbortController(),
	});
	exchange.route = route;
	exchange.deadline = 5000;
	if (hasDisconnected) {
		exchange.disconnection.abort();
	}

	world.notes.set('result', await dispatcher.run(exchange));
	world.notes.set('sent', sent);
};

When('a caller that retries disconnects before its request is sent', async function (this: SystemWorld) {
	await dispatch(this, true);
});

When('a caller retries', async function (this: SystemWorld) {
	await dispatch(this, false);
});

Then('it is told at once that its request did not run, and when to retry', function (this: SystemWorld) {
	const result = this.notes.get('result') as Result<void, Problem>;
	const {options} = result._unsafeUnwrapErr();
	assert.equal(options.status, 503);
	assert.equal(options.outcome, 'not-run');
	assert.ok(options.retryAfterMs! > 0);
});

Then('its request is sent to no target', function (this: SystemWorld) {
	assert.deepEqual(this.notes.get('sent'), []);
});

When('one request has been admitted as a probe', function (this: SystemWorld) {
	assert.ok((this.notes.get('serviceBreaker') as ServiceBreaker).admit(target.service, 0));
});

When('the first has reached a target that is gone', function (this: SystemWorld) {
	(this.notes.get('serviceBreaker') as ServiceBreaker).allowNextProbe(target.service, 1);
});

Then('the next {word} admitted', function (this: SystemWorld, verb: string) {
	assert.equal((this.notes.get('serviceBreaker') as ServiceBreaker).admit(target.service, 1), verb === 'is');
});

const members = (group: string): Target[] => [1, 2].map(number => ({
	...target, id: `${group}-${number}`, group, port: (group === 'first' ? 10 : 20) + number,
}));

Given('a service of two groups, the first of which has stopped {int} ms ago', function (this: SystemWorld, ms: number) {
	const serviceBreaker = new ServiceBreaker(String);
	serviceBreaker.noteDown(getFailureDomain(members('first')[0]), -ms, 'as the scenario says');
	this.notes.set('serviceBreaker', serviceBreaker);
	this.notes.set('targets', [...members('first'), ...members('second')]);
});

Given('the second has stopped as well', function (this: SystemWorld) {
	(this.notes.get('serviceBreaker') as ServiceBreaker).noteDown(getFailureDomain(members('second')[0]), 0, 'as the scenario says');
});

Given('the first has been formed again', function (this: SystemWorld) {
	(this.notes.get('serviceBreaker') as ServiceBreaker).noteRunning(getFailureDomain(members('first')[0]), 0);
});

When('a caller asks for the service', async function (this: SystemWorld) {
	await dispatch(this, false, this.notes.get('targets') as Target[]);
});

Then('its request is sent to a target of the {word} group first', function (this: SystemWorld, group: string) {
	const [first] = this.notes.get('sent') as string[];
	assert.ok(first.startsWith(group), first);
});
