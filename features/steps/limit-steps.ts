import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {TargetLimits} from '../../src/balance/target-limits.js';
import {LimitPermits} from '../../src/forward/limit-permits.js';
import {type HttpTarget} from '../../stand-ins/forward/http-target.js';
import {type CallFleet} from '../support/call-fleet.js';
import {type FleetTarget} from '../support/fleet-target.js';
import {type ForwardSystem} from '../support/forward-system.js';
import {type SystemWorld} from '../support/system-world.js';

/** A trouble that comes and goes, milliseconds. */
type Spell = {readonly from: number; readonly until: number; readonly begin: (fleet: CallFleet) => void; readonly end: (fleet: CallFleet) => void};
/** What a life of a target has named from a moment on; undefined when nothing. */
type Named = {readonly life: string; readonly at: number; readonly perSecond: number | undefined};
type Answer = Awaited<ReturnType<ForwardSystem['call']>>;
type Limited = {readonly targets: readonly FleetTarget[]; readonly perSecond: number; readonly from: number; readonly until: number};

/** From then on after a target first names its limit, all entries keep to it, milliseconds. */
const settleMs = 3000;
const windowMs = 4000;
/** What a target may get in a window: so many times what its limit allows, and so many requests more. */
const allowedShare = 1.5;
const allowedMore = 5;
/** Time between two troubles that are drawn, milliseconds. */
const troubleMs = 400;
/** What a target named counts for so long after it has named something else, milliseconds: entries hear of it late. */
const newsMs = 1000;

const getFleet = (world: SystemWorld): CallFleet => world.notes.get('fleet') as CallFleet;
const getLimited = (world: SystemWorld): Limited => world.notes.get('limited') as Limited;
const getSystem = (world: SystemWorld): ForwardSystem => world.notes.get('forward') as ForwardSystem;
const getTarget = (world: SystemWorld, number: number): HttpTarget => getSystem(world).targets.get(`target-${number}`)!;

/* Moments at which a target got requests while its limit held, by all entries. */
const listArrivals = (world: SystemWorld, target: FleetTarget): number[] => {
	const {from, until} = getLimited(world);
	return getFleet(world).arrivals.filter(arrival => arrival.target === target && arrival.at >= from + settleMs && arrival.at < until).map(({at}) => at);
};

/* Lets time pass, with a trouble that comes and goes meanwhile. */
const passWith = async (fleet: CallFleet, until: number, spell: Spell | undefined): Promise<void> => {
	if (spell) {
		await fleet.pass(spell.from);
		spell.begin(fleet);
		await fleet.pass(Math.min(until, spell.until));
		spell.end(fleet);
	}

	await fleet.pass(until);
};

When('{int} of the entries and the others do not hear each other from second {int} to {int}', function (this: SystemWorld, count: number, from: number, until: number) {
	const spell: Spell = {
		from: from * 1000,
		until: until * 1000,
		begin(fleet) {
			fleet.cutOff = new Set(Array.from({length: count}, (_, entry) => entry));
		},
		end(fleet) {
			fleet.cutOff = new Set();
		},
	};
	this.notes.set('spell', spell);
});

When('links between entries take {int} ms each way from second {int} to {int}', function (this: SystemWorld, ms: number, from: number, until: number) {
	const usualMs = getFleet(this).linkMs;
	const spell: Spell = {
		from: from * 1000,
		until: until * 1000,
		begin(fleet) {
			fleet.linkMs = ms;
		},
		end(fleet) {
			fleet.linkMs = usualMs;
		},
	};
	this.notes.set('spell', spell);
});

When('entry {string} is killed', async function (this: SystemWorld, entry: string) {
	const {entries} = getSystem(this);
	await entries.get(entry)!.kill();
	entries.delete(entry);
});

When('{int} targets name a limit of {float} a second from second {int} to {int}', async function (this: SystemWorld, count: number, perSecond: number, fromSecond: number, untilSecond: number) {
	const fleet = getFleet(this);
	const [from, until] = [fromSecond * 1000, untilSecond * 1000];
	const targets = fleet.targets.slice(0, count);
	await fleet.pass(from);
	for (const target of targets) {
		target.limit = perSecond;
	}

	await passWith(fleet, until, this.notes.get('spell') as Spell | undefined);
	for (const target of targets) {
		target.limit = undefined;
	}

	// Whoever asked last has its answer.
	await fleet.pass(until + 2000);
	this.notes.set('limited', {
		targets, perSecond, from, until,
	});
	this.notes.set('span', {from, until});
	this.notes.set('refusing', targets);
});

Then('none of them gets more from all entries in any 4 seconds than one and a half times its limit and 5 requests', function (this: SystemWorld) {
	const {targets, perSecond} = getLimited(this);
	const most = (allowedShare * perSecond * windowMs / 1000) + allowedMore;
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

Given('target {int} names a limit of {string} in its answers', function (this: SystemWorld, number: number, limit: string) {
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

Then('target {int} has been asked at most {int} times', function (this: SystemWorld, number: number, most: number) {
	const {arrivals} = getTarget(this, number);
	assert.ok(arrivals <= most, `${arrivals} times`);
});

Then('soon a caller who sends {string} reaches target {int}', async function (this: SystemWorld, request: string, number: number) {
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

Then('whoever is refused is told within {int} ms', function (this: SystemWorld, ms: number) {
	const {refusals} = getFleet(this);
	const {from, until} = getLimited(this);
	const slow = refusals.filter(({at, afterMs}) => at >= from && at < until && afterMs > ms);
	assert.ok(refusals.length > 0);
	assert.deepEqual(slow.slice(0, 3), [], `${slow.length} of ${refusals.length}`);
});

Then('no {int} ms are told to more than {int} times as many as others are, by the mean', function (this: SystemWorld, ms: number, most: number) {
	const {from, until} = getLimited(this);
	const told = getFleet(this).refusals.filter(({at}) => at >= from + settleMs && at < until).map(({returnAt}) => returnAt);
	const mean = told.length * ms / (Math.max(...told) - Math.min(...told));
	const highest = Math.max(...told.map(start => told.filter(at => at >= start && at < start + ms).length));
	assert.ok(highest <= most * mean, `${highest} within ${ms} ms, ${mean} by the mean`);
});

const nameLife = ({target: {id, bornAt}}: FleetTarget): string => `${id} ${bornAt}`;

const trouble = (fleet: CallFleet): void => {
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

When('targets name limits that change, leave, crash and start again, and entries are cut off, for {int} seconds, as the seed has it', async function (this: SystemWorld, seconds: number) {
	const fleet = getFleet(this);
	const named: Named[] = [];
	while (fleet.now < seconds * 1000) {
		await fleet.pass(fleet.now + troubleMs);
		trouble(fleet);
		named.push(...fleet.targets.map(target => ({life: nameLife(target), at: fleet.now, perSecond: target.limit})));
	}

	this.notes.set('named', named);
});

Then('no life of a target gets more from all entries in any 4 seconds than one and a half times the most that it named, and 5 requests', function (this: SystemWorld) {
	const named = this.notes.get('named') as Named[];
	const {arrivals} = getFleet(this);
	let windows = 0;
	for (const life of new Set(named.map(entry => entry.life))) {
		const lifeArrivals = arrivals.filter(({pair}) => pair.endsWith(` ${life}`)).map(({at}) => at);
		for (const start of lifeArrivals) {
			const during = named.filter(entry => entry.life === life && entry.at >= start - settleMs - troubleMs && entry.at < start + windowMs);
			const hasNamed = during.length >= (settleMs + windowMs) / troubleMs && during.every(({perSecond}) => perSecond !== undefined);
			if (hasNamed) {
				windows++;
				const most = Math.max(...during.filter(({at}) => at >= start - newsMs - troubleMs).map(({perSecond}) => perSecond!));
				const got = lifeArrivals.filter(at => at >= start && at < start + windowMs).length;
				assert.ok(got <= (allowedShare * most * windowMs / 1000) + allowedMore, `${life} got ${got} from ${start} ms on, at ${most} a second`);
			}
		}
	}

	assert.ok(windows > 0, 'no target has named a limit for long enough');
});

Then('target {int} has been asked at least {int} times', function (this: SystemWorld, number: number, least: number) {
	const {arrivals} = getTarget(this, number);
	assert.ok(arrivals >= least, `${arrivals} times`);
});

Given('each target but {int} names a limit of {string} in its answers', function (this: SystemWorld, number: number, limit: string) {
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

const life = {id: 'target-1', bornAt: 1};

Given('a target that has named {float} a second at {int} ms', function (this: SystemWorld, perSecond: number, now: number) {
	const limits = new TargetLimits(String);
	limits.note(life, {perSecond}, now, now);
	this.notes.set('limits', limits);
});

When('an answer that names none comes at {int} ms to a request of {int} ms', function (this: SystemWorld, now: number, sentAt: number) {
	(this.notes.get('limits') as TargetLimits).note(life, undefined, sentAt, now);
});

Then('the target takes {float} a second', function (this: SystemWorld, perSecond: number) {
	assert.equal((this.notes.get('limits') as TargetLimits).get(life.id), perSecond);
});

Then('the target names no limit', function (this: SystemWorld) {
	assert.equal((this.notes.get('limits') as TargetLimits).get(life.id), undefined);
});

type AskingEntry = {readonly permits: LimitPermits; now: number; asked: number | undefined};

Given('an entry that hears another which keeps the permits of a target', function (this: SystemWorld) {
	const limits = new TargetLimits(String);
	limits.note(life, {perSecond: 1}, 0, 0);
	const entry: AskingEntry = {
		now: 0,
		asked: undefined,
		permits: new LimitPermits({
			address: 'here',
			electEntry: () => 'there',
			listPeers: () => ['there'],
			countRegistered: () => 2,
			ask(_peer, {number}) {
				entry.asked = number;
				return true;
			},
			limits,
			clock: () => entry.now,
		}),
	};
	this.notes.set('asking', entry);
});

When('a third entry asks it for a permit at {float} a second, {int} ms later', function (this: SystemWorld, perSecond: number, ms: number) {
	const entry = this.notes.get('asking') as AskingEntry;
	const ask = () => entry.permits.answer({type: 'permit-wanted', number: 1, limit: {...life, perSecond, agoMs: 0}});
	ask();
	entry.now += ms;
	this.notes.set('isGranted', ask().isGranted);
});

Then('it gives none', function (this: SystemWorld) {
	assert.equal(this.notes.get('isGranted'), false);
});

When('it asks for a permit, and reads after {int} ms that it has it', async function (this: SystemWorld, ms: number) {
	const entry = this.notes.get('asking') as AskingEntry;
	const taken = entry.permits.take({
		...life, service: 'desk', address: '10.0.0.1', port: 1, availabilityZone: 'a', slots: 8, isLeaving: false,
	});
	entry.now += ms;
	entry.permits.receive({
		type: 'permit', number: entry.asked!, isGranted: true, nextMs: 0,
	});
	this.notes.set('isTaken', await taken);
});

Then('it does not send the request', function (this: SystemWorld) {
	assert.equal(this.notes.get('isTaken'), false);
});

Then('those that are refused hear that targets take no more for now, and some of them other times than others', function (this: SystemWorld) {
	const refused = (this.notes.get('answers') as Answer[]).filter(({status}) => status === 503);
	assert.ok(refused.length > 1, `${refused.length} are refused`);
	for (const {body} of refused) {
		assert.match((JSON.parse(body) as {detail: string}).detail, /no more for now/v);
	}

	assert.ok(new Set(refused.map(({headers}) => headers['retry-after'])).size > 1);
});
