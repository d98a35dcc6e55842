import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {TargetLimits} from '../../src/balance/target-limits.js';
import {LimitPermits} from '../../src/forward/limit-permits.js';
import {type HttpTarget} from '../../stand-ins/forward/http-target.js';
import {type FleetSimulation} from '../support/fleet-simulation.js';
import {type SimulatedTarget} from '../support/simulated-target.js';
import {type ForwardSystem} from '../support/forward-system.js';
import {type SystemWorld} from '../support/system-world.js';

/** A fault that lasts for a period, milliseconds. */
type FaultPeriod = {readonly from: number; readonly until: number; readonly begin: (fleet: FleetSimulation) => void; readonly end: (fleet: FleetSimulation) => void};
/** Limit of a target incarnation from a time on (milliseconds); undefined when it announces none. */
type AnnouncedLimit = {readonly incarnation: string; readonly at: number; readonly perSecond: number | undefined};
type Answer = Awaited<ReturnType<ForwardSystem['call']>>;
/** Targets that announced a limit, the limit, and the period (milliseconds). */
type Limited = {readonly targets: readonly SimulatedTarget[]; readonly perSecond: number; readonly from: number; readonly until: number};

/** Time after a target first announces its limit until all entries observe it, milliseconds. */
const settleMs = 3000;
/** Length of the window in which a limit is checked, milliseconds. */
const windowMs = 4000;
/** Allowed requests in a window: this many times the limit, plus this number of requests. */
const limitFactor = 1.5;
const limitAllowance = 5;
/** Interval between two random faults, milliseconds. */
const faultIntervalMs = 400;
/** Time for which a previous limit still counts after a change, milliseconds: entries learn of changes late. */
const limitPropagationMs = 1000;

const getFleet = (world: SystemWorld): FleetSimulation => world.notes.get('fleet') as FleetSimulation;
const getLimited = (world: SystemWorld): Limited => world.notes.get('limited') as Limited;
const getSystem = (world: SystemWorld): ForwardSystem => world.notes.get('forward') as ForwardSystem;
const getTarget = (world: SystemWorld, number: number): HttpTarget => getSystem(world).targets.get(`target-${number}`)!;

/* Times at which a target received requests of any entry while its limit was in force. */
const listArrivals = (world: SystemWorld, target: SimulatedTarget): number[] => {
	const {from, until} = getLimited(world);
	return getFleet(world).arrivals.filter(arrival => arrival.target === target && arrival.at >= from + settleMs && arrival.at < until).map(({at}) => at);
};

/* Advances the clock, with a fault in between. */
const advanceWithFault = async (fleet: FleetSimulation, until: number, fault: FaultPeriod | undefined): Promise<void> => {
	if (fault) {
		await fleet.advance(fault.from);
		fault.begin(fleet);
		await fleet.advance(Math.min(until, fault.until));
		fault.end(fleet);
	}

	await fleet.advance(until);
};

When('links between {int} of the entries and the others are cut from second {int} to {int}', function (this: SystemWorld, count: number, from: number, until: number) {
	const fault: FaultPeriod = {
		from: from * 1000,
		until: until * 1000,
		begin(fleet) {
			fleet.cutOff = new Set(Array.from({length: count}, (_, entry) => entry));
		},
		end(fleet) {
			fleet.cutOff = new Set();
		},
	};
	this.notes.set('fault', fault);
});

When('links between entries have a one-way delay of {int} ms from second {int} to {int}', function (this: SystemWorld, ms: number, from: number, until: number) {
	const normalMs = getFleet(this).linkMs;
	const fault: FaultPeriod = {
		from: from * 1000,
		until: until * 1000,
		begin(fleet) {
			fleet.linkMs = ms;
		},
		end(fleet) {
			fleet.linkMs = normalMs;
		},
	};
	this.notes.set('fault', fault);
});

When('entry {string} is killed', async function (this: SystemWorld, entry: string) {
	const {entries} = getSystem(this);
	await entries.get(entry)!.kill();
	entries.delete(entry);
});

When('{int} targets announce a limit of {float} per second from second {int} to {int}', async function (this: SystemWorld, count: number, perSecond: number, fromSecond: number, untilSecond: number) {
	const fleet = getFleet(this);
	const [from, until] = [fromSecond * 1000, untilSecond * 1000];
	const targets = fleet.targets.slice(0, count);
	await fleet.advance(from);
	for (const target of targets) {
		target.limit = perSecond;
	}

	await advanceWithFault(fleet, until, this.notes.get('fault') as FaultPeriod | undefined);
	for (const target of targets) {
		target.limit = undefined;
	}

	// The last callers get their answers.
	await fleet.advance(until + 2000);
	this.notes.set('limited', {
		targets, perSecond, from, until,
	});
	this.notes.set('span', {from, until});
	this.notes.set('refusing', targets);
});

Then('none of them gets more requests from all entries in any 4 seconds than one and a half times its limit plus 5', function (this: SystemWorld) {
	const {targets, perSecond} = getLimited(this);
	const most = (limitFactor * perSecond * windowMs / 1000) + limitAllowance;
	for (const target of targets) {
		const arrivals = listArrivals(this, target);
		const windows = arrivals.map(start => arrivals.filter(at => at >= start && at < start + windowMs).length);
		assert.ok(Math.max(0, ...windows) <= most, `${Math.max(...windows)} in 4 s, ${most} allowed`);
	}
});

Then('each of them gets at least {int} tenths of its limit', function (this: SystemWorld, tenths: number) {
	const {targets, perSecond, from, until} = getLimited(this);
	const expected = perSecond * (until - from - settleMs) / 1000 * tenths / 10;
	for (const target of targets) {
		const got = listArrivals(this, target).length;
		assert.ok(got >= Math.floor(expected), `${got} of ${expected}`);
	}
});

Given('target {int} announces a limit of {string} in its answers', function (this: SystemWorld, number: number, limit: string) {
	getTarget(this, number).extraHeaders = {'x-limit': limit};
});

When('callers send {string} {int} times, to the entries in turn', async function (this: SystemWorld, request: string, count: number) {
	const system = getSystem(this);
	const [method, path] = request.split(' ');
	const entries = [...system.entries.keys()];
	const answers = [];
	for (let sent = 0; sent < count; sent++) {
		answers.push(await system.call({
			entry: entries[sent % entries.length], method, path, ...(method === 'POST' && {body: 'a block'}),
		}));
	}

	this.notes.set('answers', answers);
});

Then('target {int} has received at most {int} requests', function (this: SystemWorld, number: number, most: number) {
	const {arrivals} = getTarget(this, number);
	assert.ok(arrivals <= most, `${arrivals} times`);
});

Then('soon a caller that sends {string} reaches target {int}', async function (this: SystemWorld, request: string, number: number) {
	const system = getSystem(this);
	const target = getTarget(this, number);
	const before = target.arrivals;
	const [method, path] = request.split(' ');
	await system.until(async () => {
		await system.call({
			method, path, ...(method === 'POST' && {body: 'a block'}),
		});
		return target.arrivals > before;
	});
});

Then('each refusal is answered within {int} ms', function (this: SystemWorld, ms: number) {
	const {refusals} = getFleet(this);
	const {from, until} = getLimited(this);
	const slow = refusals.filter(({at, afterMs}) => at >= from && at < until && afterMs > ms);
	assert.ok(refusals.length > 0);
	assert.deepEqual(slow.slice(0, 3), [], `${slow.length} of ${refusals.length}`);
});

Then('no interval of {int} ms is announced for retries more than {int} times as often as the mean', function (this: SystemWorld, ms: number, most: number) {
	const {from, until} = getLimited(this);
	const retryTimes = getFleet(this).refusals.filter(({at}) => at >= from + settleMs && at < until).map(({returnAt}) => returnAt);
	const mean = retryTimes.length * ms / (Math.max(...retryTimes) - Math.min(...retryTimes));
	const highest = Math.max(...retryTimes.map(start => retryTimes.filter(at => at >= start && at < start + ms).length));
	assert.ok(highest <= most * mean, `${highest} within ${ms} ms, mean ${mean}`);
});

const formatIncarnation = ({target: {id, bornAt}}: SimulatedTarget): string => `${id} ${bornAt}`;

const injectFault = (fleet: FleetSimulation): void => {
	const target = fleet.targets[fleet.draw(fleet.targets.length)];
	switch (fleet.draw(12)) {
		case 0: {
			if (!target.isDown) {
				fleet.crashTarget(target);
			}

			break;
		}

		case 1: {
			target.isLeaving = true;
			break;
		}

		case 2: {
			target.limit = undefined;
			break;
		}

		case 3: {
			const first = fleet.draw(fleet.paths.length);
			fleet.cutOff = new Set(Array.from({length: fleet.draw(fleet.paths.length)}, (_, step) => (first + step) % fleet.paths.length));
			break;
		}

		case 4: {
			fleet.cutOff = new Set();
			break;
		}

		default: {
			target.limit = [0, 0.2, 0.5, 1, 1.5, 3, 10, 1000][fleet.draw(8)];
		}
	}
};

When('targets announce changing limits, leave, crash and restart, and links are cut, at random for {int} seconds', async function (this: SystemWorld, seconds: number) {
	const fleet = getFleet(this);
	const announced: AnnouncedLimit[] = [];
	while (fleet.now < seconds * 1000) {
		await fleet.advance(fleet.now + faultIntervalMs);
		injectFault(fleet);
		announced.push(...fleet.targets.map(target => ({incarnation: formatIncarnation(target), at: fleet.now, perSecond: target.limit})));
	}

	this.notes.set('announced', announced);
});

Then('no target incarnation gets more requests from all entries in any 4 seconds than one and a half times its highest limit plus 5', function (this: SystemWorld) {
	const announced = this.notes.get('announced') as AnnouncedLimit[];
	const {arrivals} = getFleet(this);
	let windows = 0;
	for (const incarnation of new Set(announced.map(entry => entry.incarnation))) {
		const incarnationArrivals = arrivals.filter(({pair}) => pair.endsWith(` ${incarnation}`)).map(({at}) => at);
		for (const start of incarnationArrivals) {
			const during = announced.filter(entry => entry.incarnation === incarnation && entry.at >= start - settleMs - faultIntervalMs && entry.at < start + windowMs);
			const hasAnnounced = during.length >= (settleMs + windowMs) / faultIntervalMs && during.every(({perSecond}) => perSecond !== undefined);
			if (hasAnnounced) {
				windows++;
				const most = Math.max(...during.filter(({at}) => at >= start - limitPropagationMs - faultIntervalMs).map(({perSecond}) => perSecond!));
				const got = incarnationArrivals.filter(at => at >= start && at < start + windowMs).length;
				assert.ok(got <= (limitFactor * most * windowMs / 1000) + limitAllowance, `${incarnation} got ${got} from ${start} ms on, with a limit of ${most} requests per second`);
			}
		}
	}

	assert.ok(windows > 0, 'no target has announced a limit for long enough');
});

Then('target {int} has received at least {int} requests', function (this: SystemWorld, number: number, least: number) {
	const {arrivals} = getTarget(this, number);
	assert.ok(arrivals >= least, `${arrivals} times`);
});

Given('each target but {int} announces a limit of {string} in its answers', function (this: SystemWorld, number: number, limit: string) {
	for (const target of getSystem(this).targets.values()) {
		target.extraHeaders = target.target.id === `target-${number}` ? {} : {'x-limit': limit};
	}
});

When('{int} times {int} ms pass and callers send {string}', async function (this: SystemWorld, times: number, ms: number, request: string) {
	const system = getSystem(this);
	const [method, path] = request.split(' ');
	const answers = [];
	for (let round = 0; round < times; round++) {
		system.skip(ms);
		answers.push(await system.call({method, path}));
	}

	this.notes.set('answers', answers);
});

const incarnation = {id: 'target-1', bornAt: 1};

Given('a target that announced a limit of {float} requests per second at {int} ms', function (this: SystemWorld, perSecond: number, now: number) {
	const limits = new TargetLimits(String);
	limits.noteAnswer(incarnation, {perSecond}, now, now);
	this.notes.set('limits', limits);
});

When('an answer without a limit arrives at {int} ms for a request sent at {int} ms', function (this: SystemWorld, now: number, sentAt: number) {
	(this.notes.get('limits') as TargetLimits).noteAnswer(incarnation, undefined, sentAt, now);
});

Then('the limit of the target is {float} requests per second', function (this: SystemWorld, perSecond: number) {
	assert.equal((this.notes.get('limits') as TargetLimits).get(incarnation.id), perSecond);
});

Then('the target has no limit', function (this: SystemWorld) {
	assert.equal((this.notes.get('limits') as TargetLimits).get(incarnation.id), undefined);
});

type RequestingEntry = {readonly permits: LimitPermits; now: number; asked: number | undefined};

Given('an entry with a live peer that grants the permits of a target', function (this: SystemWorld) {
	const limits = new TargetLimits(String);
	limits.noteAnswer(incarnation, {perSecond: 1}, 0, 0);
	const entry: RequestingEntry = {
		now: 0,
		asked: undefined,
		permits: new LimitPermits({
			address: 'here',
			electEntry: () => 'there',
			listPeers: () => ['there'],
			countRegistered: () => 2,
			sendToPeer(_peer, {number}) {
				entry.asked = number;
				return true;
			},
			limits,
			clock: () => entry.now,
		}),
	};
	this.notes.set('asking', entry);
});

When('a third entry requests a permit from it for a limit of {float} requests per second, {int} ms later', function (this: SystemWorld, perSecond: number, ms: number) {
	const entry = this.notes.get('asking') as RequestingEntry;
	const ask = () => entry.permits.handleRequest({type: 'permit-wanted', number: 1, limit: {...incarnation, perSecond, agoMs: 0}});
	ask();
	entry.now += ms;
	this.notes.set('isGranted', ask().isGranted);
});

Then('it grants no permit', function (this: SystemWorld) {
	assert.equal(this.notes.get('isGranted'), false);
});

When('it requests a permit, and receives the grant after {int} ms', async function (this: SystemWorld, ms: number) {
	const entry = this.notes.get('asking') as RequestingEntry;
	const taken = entry.permits.take({
		...incarnation, service: 'desk', address: '10.0.0.1', port: 1, availabilityZone: 'a', slots: 8, isLeaving: false,
	});
	entry.now += ms;
	entry.permits.handleAnswer({
		type: 'permit', number: entry.asked!, isGranted: true, nextMs: 0,
	});
	this.notes.set('isTaken', await taken);
});

Then('it does not send the request', function (this: SystemWorld) {
	assert.equal(this.notes.get('isTaken'), false);
});

Then('refusals say that targets take no more for now, and their Retry-After values differ', function (this: SystemWorld) {
	const refused = (this.notes.get('answers') as Answer[]).filter(({status}) => status === 503);
	assert.ok(refused.length > 1, `${refused.length} are refused`);
	for (const {body} of refused) {
		assert.match((JSON.parse(body) as {detail: string}).detail, /no more for now/v);
	}

	assert.ok(new Set(refused.map(({headers}) => headers['retry-after'])).size > 1);
});
