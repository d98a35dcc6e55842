import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {type HttpTarget} from '../../stand-ins/forward/http-target.js';
import {type CallFleet} from '../support/call-fleet.js';
import {type FleetTarget} from '../support/fleet-target.js';
import {type ForwardSystem} from '../support/forward-system.js';
import {type SystemWorld} from '../support/system-world.js';

type Answer = Awaited<ReturnType<ForwardSystem['call']>>;

/** Crashes after which the request is known to cause them. */
const crashesToTell = 3;

const getFleet = (world: SystemWorld): CallFleet => world.notes.get('fleet') as CallFleet;
const getSystem = (world: SystemWorld): ForwardSystem => world.notes.get('forward') as ForwardSystem;
const listTargets = (world: SystemWorld): HttpTarget[] => [...getSystem(world).targets.values()];
const listCrashes = (world: SystemWorld): number[] => getFleet(world).arrivals.filter(({isCrashing}) => isCrashing).map(({at}) => at);

Given('each of their requests is another one', function (this: SystemWorld) {
	getFleet(this).isAlike = false;
});

Given('their requests are all alike', function (this: SystemWorld) {
	getFleet(this).isAlike = true;
});

/* Has a request that crashes its targets come again and again, and lets whoever asked last have its answer. */
const comeAgain = async (world: SystemWorld, everyMs: number, [fromSecond, untilSecond]: readonly [number, number], come: (fleet: CallFleet) => void): Promise<void> => {
	const fleet = getFleet(world);
	const [from, until] = [fromSecond * 1000, untilSecond * 1000];
	await fleet.pass(from);
	while (fleet.now < until) {
		come(fleet);
		await fleet.pass(fleet.now + everyMs);
	}

	await fleet.pass(until + 2000);
	world.notes.set('span', {from, until});
};

When('a request that crashes its targets comes each {int} ms from second {int} to {int}', async function (this: SystemWorld, everyMs: number, from: number, until: number) {
	await comeAgain(this, everyMs, [from, until], fleet => {
		fleet.crash();
	});
});

When('a request that crashes its targets comes at all entries each {int} ms from second {int} to {int}', async function (this: SystemWorld, everyMs: number, from: number, until: number) {
	await comeAgain(this, everyMs, [from, until], fleet => {
		for (const entry of fleet.paths.keys()) {
			fleet.crash(entry);
		}
	});
});

Then('it reaches targets at most {int} times later than {int} seconds after it has crashed the third', function (this: SystemWorld, most: number, seconds: number) {
	const crashes = listCrashes(this);
	const later = crashes.filter(at => at > crashes[crashesToTell - 1] + (seconds * 1000));
	assert.ok(later.length <= most, `${later.length} times`);
});

Then('it reaches targets at most {int} times in all', function (this: SystemWorld, most: number) {
	const {length} = listCrashes(this);
	assert.ok(length > 0 && length <= most, `${length} times`);
});

Then('at least {int} in {int} of all callers meanwhile are served', function (this: SystemWorld, least: number, outOf: number) {
	const {from, until} = this.notes.get('span') as {from: number; until: number};
	const asked = getFleet(this).calls.filter(({askedAt}) => askedAt >= from && askedAt < until);
	const served = asked.filter(({isServed}) => isServed);
	assert.ok(served.length >= asked.length * least / outOf, `${served.length} of ${asked.length}`);
});

/* Lets targets crash by themselves at regular times, and then lets whoever asked last have its answer. */
const crashAgain = async (fleet: CallFleet, everyMs: number, [from, until]: readonly [number, number], choose: () => FleetTarget[]): Promise<void> => {
	await fleet.pass(from);
	while (fleet.now < until) {
		for (const target of choose().filter(({isDown}) => !isDown)) {
			fleet.crashTarget(target);
		}

		await fleet.pass(fleet.now + everyMs);
	}

	await fleet.pass(until + 2000);
};

const countServedAtOnce = ({calls}: CallFleet, from: number, until: number): {readonly served: number; readonly asked: number} => {
	const asked = calls.filter(({askedAt}) => askedAt >= from && askedAt < until);
	return {asked: asked.length, served: asked.filter(({isServed, tries}) => isServed && tries === 1).length};
};

When('a target crashes by itself each {int} ms from second {int} to {int}', async function (this: SystemWorld, everyMs: number, fromSecond: number, untilSecond: number) {
	const fleet = getFleet(this);
	const span = [fromSecond * 1000, untilSecond * 1000] as const;
	await crashAgain(fleet, everyMs, span, () => [fleet.targets[fleet.draw(fleet.targets.length)]]);
	this.notes.set('span', {from: span[0], until: span[1]});
});

When('all targets crash by themselves each {int} ms from second {int} to {int}', async function (this: SystemWorld, everyMs: number, fromSecond: number, untilSecond: number) {
	const fleet = getFleet(this);
	const span = [fromSecond * 1000, untilSecond * 1000] as const;
	await crashAgain(fleet, everyMs, span, () => fleet.targets);
});

Then('in the last {int} seconds at least {int} in {int} callers are served at once', function (this: SystemWorld, seconds: number, least: number, outOf: number) {
	const {until} = this.notes.get('span') as {from: number; until: number};
	const {served, asked} = countServedAtOnce(getFleet(this), until - (seconds * 1000), until);
	assert.ok(served >= asked * least / outOf, `${served} of ${asked}`);
});

Then('{int} ms later at least {int} in {int} callers are served at once for {int} seconds', async function (this: SystemWorld, ms: number, least: number, outOf: number, seconds: number) {
	const fleet = getFleet(this);
	const from = fleet.now + ms;
	const until = from + (seconds * 1000);
	await fleet.pass(until + 2000);
	const {served, asked} = countServedAtOnce(fleet, from, until);
	assert.ok(served >= asked * least / outOf, `${served} of ${asked}`);
});

Given('targets crash as they run a request for {string}', function (this: SystemWorld, path: string) {
	for (const target of listTargets(this)) {
		target.crashingPath = path;
	}
});

Given('all targets cut each connection within the answer', function (this: SystemWorld) {
	for (const target of listTargets(this)) {
		target.behaviours.shift = () => 'cut';
	}
});

When('targets answer again', function (this: SystemWorld) {
	for (const target of listTargets(this)) {
		target.behaviours.shift = () => 'answer';
	}
});

Then('at most {int} targets have crashed', function (this: SystemWorld, count: number) {
	const crashed = listTargets(this).filter(({hasCrashed}) => hasCrashed);
	assert.ok(crashed.length <= count, `${crashed.length} targets`);
});

Then('the last of them is refused as not run, to come back in {int} s or more', function (this: SystemWorld, leastSeconds: number) {
	const {status, headers, body} = (this.notes.get('answers') as Answer[]).at(-1)!;
	assert.equal(status, 503);
	assert.equal((JSON.parse(body) as {outcome: string}).outcome, 'not-run');
	assert.ok(Number(headers['retry-after']) >= leastSeconds, String(headers['retry-after']));
});

Then('all of that is served', function (this: SystemWorld) {
	assert.deepEqual([...new Set((this.notes.get('answers') as Answer[]).map(({status}) => status))], [200]);
});

Then('no request is refused for a crash', function (this: SystemWorld) {
	const accused = new Set(getFleet(this).lines.filter(line => line.includes(' is refused for ')).map(line => line.split(' ')[1]));
	assert.deepEqual([...accused], [], `${accused.size} requests are taken for the cause`);
});
