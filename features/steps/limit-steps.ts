import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {type HttpTarget} from '../../stand-ins/forward/http-target.js';
import {type CallFleet} from '../support/call-fleet.js';
import {type FleetTarget} from '../support/fleet-target.js';
import {type ForwardSystem} from '../support/forward-system.js';
import {type SystemWorld} from '../support/system-world.js';

type Limited = {readonly targets: readonly FleetTarget[]; readonly perSecond: number; readonly from: number; readonly until: number};

/** From then on after a target first names its limit, all entries keep to it, milliseconds. */
const settleMs = 3000;
const windowMs = 4000;
/** What a target may get in a window: so many times what its limit allows, and so many requests more. */
const allowedShare = 1.5;
const allowedMore = 5;

const getFleet = (world: SystemWorld): CallFleet => world.notes.get('fleet') as CallFleet;
const getLimited = (world: SystemWorld): Limited => world.notes.get('limited') as Limited;
const getSystem = (world: SystemWorld): ForwardSystem => world.notes.get('forward') as ForwardSystem;
const getTarget = (world: SystemWorld, number: number): HttpTarget => getSystem(world).targets.get(`target-${number}`)!;

/* Moments at which a target got requests while its limit held, by all entries. */
const listArrivals = (world: SystemWorld, target: FleetTarget): number[] => {
	const {from, until} = getLimited(world);
	return getFleet(world).arrivals.filter(arrival => arrival.target === target && arrival.at >= from + settleMs && arrival.at < until).map(({at}) => at);
};

When('{int} targets name a limit of {float} a second from second {int} to {int}', async function (this: SystemWorld, count: number, perSecond: number, fromSecond: number, untilSecond: number) {
	const fleet = getFleet(this);
	const [from, until] = [fromSecond * 1000, untilSecond * 1000];
	const targets = fleet.targets.slice(0, count);
	await fleet.pass(from);
	for (const target of targets) {
		target.limit = perSecond;
	}

	await fleet.pass(until);
	for (const target of targets) {
		target.limit = undefined;
	}

	// Whoever asked last has its answer.
	await fleet.pass(until + 2000);
	this.notes.set('limited', {
		targets, perSecond, from, until,
	});
	this.notes.set('span', {from, until});
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
	getTarget(this, number).marks = {'x-limit': limit};
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
