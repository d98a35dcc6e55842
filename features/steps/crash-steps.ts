import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {type HttpTarget} from '../../stand-ins/forward/http-target.js';
import {type FleetSimulation} from '../support/fleet-simulation.js';
import {type SimulatedTarget} from '../support/simulated-target.js';
import {type ForwardSystem} from '../support/forward-system.js';
import {type SystemWorld} from '../support/system-world.js';

type Answer = Awaited<ReturnType<ForwardSystem['call']>>;

/** Number of crashes after which the request is identified as their cause. */
const crashesToIdentify = 3;

const getFleet = (world: SystemWorld): FleetSimulation => world.notes.get('fleet') as FleetSimulation;
const getSystem = (world: SystemWorld): ForwardSystem => world.notes.get('forward') as ForwardSystem;
const listTargets = (world: SystemWorld): HttpTarget[] => [...getSystem(world).targets.values()];
const listCrashes = (world: SystemWorld): number[] => getFleet(world).arrivals.filter(({isCrashing}) => isCrashing).map(({at}) => at);

Given('each of their requests is different', function (this: SystemWorld) {
	getFleet(this).isIdentical = false;
});

Given('all their requests are identical', function (this: SystemWorld) {
	getFleet(this).isIdentical = true;
});

/* Sends a request that crashes its targets repeatedly, and waits until the last callers have their answers. */
const repeatCrashingRequest = async (world: SystemWorld, everyMs: number, [fromSecond, untilSecond]: readonly [number, number], sendRequest: (fleet: FleetSimulation) => void): Promise<void> => {
	const fleet = getFleet(world);
	const [from, until] = [fromSecond * 1000, untilSecond * 1000];
	await fleet.advance(from);
	while (fleet.now < until) {
		sendRequest(fleet);
		await fleet.advance(fleet.now + everyMs);
	}

	await fleet.advance(until + 2000);
	world.notes.set('span', {from, until});
};

When('a request that crashes its targets is sent every {int} ms from second {int} to {int}', async function (this: SystemWorld, everyMs: number, from: number, until: number) {
	await repeatCrashingRequest(this, everyMs, [from, until], fleet => {
		fleet.sendCrashingRequest();
	});
});

const restartedCrashes = 'a request that crashes its targets is sent every {int} ms from second {int} to {int}, and all entries start again at seconds 6, 9, 12 and 15';

When(restartedCrashes, async function (this: SystemWorld, everyMs: number, from: number, until: number) {
	const restarts = [6000, 9000, 12_000, 15_000];
	await repeatCrashingRequest(this, everyMs, [from, until], fleet => {
		if (restarts.length > 0 && fleet.now >= restarts[0]) {
			restarts.shift();
			const entries = [...fleet.paths.keys()];
			for (const entry of entries) {
				fleet.killEntry(entry);
			}

			for (const entry of entries) {
				fleet.startEntry(entry);
			}

			// An entry takes no request before it has read the store.
			return;
		}

		fleet.sendCrashingRequest();
	});
});

When('a request that crashes its targets is sent to all entries every {int} ms from second {int} to {int}', async function (this: SystemWorld, everyMs: number, from: number, until: number) {
	await repeatCrashingRequest(this, everyMs, [from, until], fleet => {
		for (const entry of fleet.paths.keys()) {
			fleet.sendCrashingRequest(entry);
		}
	});
});

Then('it reaches targets at most {int} times later than {int} seconds after the third crash', function (this: SystemWorld, most: number, seconds: number) {
	const crashes = listCrashes(this);
	const later = crashes.filter(at => at > crashes[crashesToIdentify - 1] + (seconds * 1000));
	assert.ok(later.length <= most, `${later.length} times`);
});

Then('it reaches targets at most {int} times in total', function (this: SystemWorld, most: number) {
	const {length} = listCrashes(this);
	assert.ok(length > 0 && length <= most, `${length} times`);
});

Then('at least {int} in {int} of the callers during that time are served', function (this: SystemWorld, least: number, outOf: number) {
	const {from, until} = this.notes.get('span') as {from: number; until: number};
	const asked = getFleet(this).calls.filter(({askedAt}) => askedAt >= from && askedAt < until);
	const served = asked.filter(({isServed}) => isServed);
	assert.ok(served.length >= asked.length * least / outOf, `${served.length} of ${asked.length}`);
});

/* Crashes targets at regular times, and waits until the last callers have their answers. */
const crashRepeatedly = async (fleet: FleetSimulation, everyMs: number, [from, until]: readonly [number, number], choose: () => SimulatedTarget[]): Promise<void> => {
	await fleet.advance(from);
	while (fleet.now < until) {
		for (const target of choose().filter(({isDown}) => !isDown)) {
			fleet.crashTarget(target);
		}

		await fleet.advance(fleet.now + everyMs);
	}

	await fleet.advance(until + 2000);
};

const countServedAtOnce = ({calls}: FleetSimulation, from: number, until: number): {readonly served: number; readonly asked: number} => {
	const asked = calls.filter(({askedAt}) => askedAt >= from && askedAt < until);
	return {asked: asked.length, served: asked.filter(({isServed, tries}) => isServed && tries === 1).length};
};

When('a target crashes for an unrelated reason every {int} ms from second {int} to {int}', async function (this: SystemWorld, everyMs: number, fromSecond: number, untilSecond: number) {
	const fleet = getFleet(this);
	const span = [fromSecond * 1000, untilSecond * 1000] as const;
	await crashRepeatedly(fleet, everyMs, span, () => [fleet.targets[fleet.draw(fleet.targets.length)]]);
	this.notes.set('span', {from: span[0], until: span[1]});
});

When('all targets crash for an unrelated reason every {int} ms from second {int} to {int}', async function (this: SystemWorld, everyMs: number, fromSecond: number, untilSecond: number) {
	const fleet = getFleet(this);
	const span = [fromSecond * 1000, untilSecond * 1000] as const;
	await crashRepeatedly(fleet, everyMs, span, () => fleet.targets);
});

Then('in the last {int} seconds at least {int} in {int} callers are served at the first attempt', function (this: SystemWorld, seconds: number, least: number, outOf: number) {
	const {until} = this.notes.get('span') as {from: number; until: number};
	const {served, asked} = countServedAtOnce(getFleet(this), until - (seconds * 1000), until);
	assert.ok(served >= asked * least / outOf, `${served} of ${asked}`);
});

Then('{int} ms later at least {int} in {int} callers are served at the first attempt for {int} seconds', async function (this: SystemWorld, ms: number, least: number, outOf: number, seconds: number) {
	const fleet = getFleet(this);
	const from = fleet.now + ms;
	const until = from + (seconds * 1000);
	await fleet.advance(until + 2000);
	const {served, asked} = countServedAtOnce(fleet, from, until);
	assert.ok(served >= asked * least / outOf, `${served} of ${asked}`);
});

Given('targets crash when they run a request for {string}', function (this: SystemWorld, path: string) {
	for (const target of listTargets(this)) {
		target.crashingPath = path;
	}
});

Given('all targets close each connection during the answer', function (this: SystemWorld) {
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

Then('the last one is refused as not run, with a Retry-After of at least {int} s', function (this: SystemWorld, leastSeconds: number) {
	const {status, headers, body} = (this.notes.get('answers') as Answer[]).at(-1)!;
	assert.equal(status, 503);
	assert.equal((JSON.parse(body) as {outcome: string}).outcome, 'not-run');
	assert.ok(Number(headers['retry-after']) >= leastSeconds, String(headers['retry-after']));
});

Then('all of these requests are served', function (this: SystemWorld) {
	assert.deepEqual([...new Set((this.notes.get('answers') as Answer[]).map(({status}) => status))], [200]);
});

Then('no request is refused because of a crash', function (this: SystemWorld) {
	const suspected = new Set(getFleet(this).lines.filter(line => line.includes(' is refused for ')).map(line => line.split(' ')[1]));
	assert.deepEqual([...suspected], [], `${suspected.size} requests are suspected`);
});
