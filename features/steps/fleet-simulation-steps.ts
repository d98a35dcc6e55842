import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {FleetSimulation} from '../support/fleet-simulation.js';
import {type SimulatedTarget} from '../support/simulated-target.js';
import {type SystemWorld} from '../support/system-world.js';

/** Requests that were in flight when the entry got the refusal may still reach the target within this time, milliseconds. */
const inFlightGraceMs = 500;
/** Time after which an entry that read that a target is leaving sends it nothing, milliseconds; the requirement allows a second or two. */
const leaveGraceMs = 1000;
/** Interval between two random faults, milliseconds. */
const faultIntervalMs = 250;
const slots = 8;
const streamSeconds = 0.9;

const getFleet = (world: SystemWorld): FleetSimulation => world.notes.get('fleet') as FleetSimulation;

Given('{int} entries and {int} targets, with callers that use a third of the capacity, seed {int}', function (this: SystemWorld, entries: number, targets: number, seed: number) {
	this.notes.set('fleet', new FleetSimulation({
		entries, targets, requestsPerSecond: targets * slots / streamSeconds / 3, seed,
	}));
});

Given('{int} entries and {int} targets, with callers that use {int} tenths of the capacity, seed {int}', function (this: SystemWorld, entries: number, targets: number, tenths: number, seed: number) {
	this.notes.set('fleet', new FleetSimulation({
		entries, targets, requestsPerSecond: targets * slots / streamSeconds * tenths / 10, seed,
	}));
});

When('full targets ask for a cooldown of {int} ms, for {int} seconds', async function (this: SystemWorld, cooldownMs: number, seconds: number) {
	const fleet = getFleet(this);
	for (const target of fleet.targets) {
		target.fullCooldownMs = cooldownMs;
	}

	await fleet.advance(seconds * 1000);
	// The last callers get their answers.
	await fleet.advance((seconds + 2) * 1000);
	this.notes.set('span', {from: 0, until: seconds * 1000});
});

Then('at least {int} in {int} of the requests that the targets have capacity for are served at the first attempt', function (this: SystemWorld, least: number, outOf: number) {
	const {calls, targets} = getFleet(this);
	const {from, until} = this.notes.get('span') as {from: number; until: number};
	const capacity = targets.length * slots / streamSeconds * (until - from) / 1000;
	const served = calls.filter(({askedAt, isServed, tries}) => askedAt >= from && askedAt < until && isServed && tries === 1);
	assert.ok(served.length >= capacity * least / outOf, `${served.length} of ${Math.round(capacity)}`);
});

/* Lets the first targets refuse all requests for a period, and waits until the last callers have their answers. */
const runRefusalPeriod = async (world: SystemWorld, count: number, seconds: readonly [number, number], cooldownMs: number | undefined): Promise<void> => {
	const fleet = getFleet(world);
	const refusing = fleet.targets.slice(0, count);
	const [from, until] = seconds.map(second => second * 1000);
	await fleet.advance(from);
	for (const target of refusing) {
		target.refusal = {share: 1, cooldownMs, delayMs: 0};
	}

	await fleet.advance(until);
	for (const target of refusing) {
		target.refusal = undefined;
	}

	// The last callers get their answers.
	await fleet.advance(until + 2000);
	world.notes.set('refusing', refusing);
	world.notes.set('span', {from, until});
};

When('{int} targets refuse all requests from second {int} to {int}, asking for no cooldown', async function (this: SystemWorld, count: number, from: number, until: number) {
	await runRefusalPeriod(this, count, [from, until], undefined);
});

When('{int} targets refuse all requests from second {int} to {int}, asking for a cooldown of {int} ms', async function (this: SystemWorld, count: number, from: number, until: number, ms: number) {
	await runRefusalPeriod(this, count, [from, until], ms);
});

const restart = (fleet: FleetSimulation, target: SimulatedTarget): void => {
	target.restart();
	fleet.register();
};

const injectFault = (fleet: FleetSimulation): void => {
	const target = fleet.targets[fleet.draw(fleet.targets.length)];
	switch (fleet.draw(6)) {
		case 0: {
			restart(fleet, target);
			break;
		}

		case 1: {
			target.isLeaving = true;
			break;
		}

		case 2: {
			target.refusal = undefined;
			break;
		}

		default: {
			target.refusal = {
				share: [0.4, 1][fleet.draw(2)],
				cooldownMs: [undefined, 0, 300, 1000, 3000, 6000][fleet.draw(6)],
				delayMs: [0, 0, 0, 300][fleet.draw(4)],
			};
		}
	}
};

When('targets refuse requests, ask for cooldowns, leave and restart at random for {int} seconds', async function (this: SystemWorld, seconds: number) {
	const fleet = getFleet(this);
	while (fleet.now < seconds * 1000) {
		await fleet.advance(fleet.now + faultIntervalMs);
		injectFault(fleet);
	}
});

Then('no target gets requests from an entry later than half a second after it asked that entry for a cooldown, until the cooldown ends', function (this: SystemWorld) {
	const {cooldowns, arrivals} = getFleet(this);
	const violations = cooldowns.filter(({pair, from, until}) => arrivals.some(arrival => arrival.pair === pair && arrival.at > from + inFlightGraceMs && arrival.at < until));
	assert.deepEqual(violations.slice(0, 3), [], `${violations.length} of ${cooldowns.length} cooldowns are not observed`);
});

Then('no target gets requests from an entry later than a second after that entry read that the target is leaving', function (this: SystemWorld) {
	const {notices, arrivals} = getFleet(this);
	assert.ok(notices.length > 0);
	const violations = notices.filter(({pair, at}) => arrivals.some(arrival => arrival.pair === pair && arrival.at > at + leaveGraceMs));
	assert.deepEqual(violations.slice(0, 3), [], `${violations.length} of ${notices.length}`);
});

Then('those {int} targets get no more than their share of the requests during that time', function (this: SystemWorld, count: number) {
	const {arrivals, targets} = getFleet(this);
	const {from, until} = this.notes.get('span') as {from: number; until: number};
	const meanwhile = arrivals.filter(({at}) => at >= from && at < until);
	const refused = meanwhile.filter(({target}) => (this.notes.get('refusing') as SimulatedTarget[]).includes(target));
	assert.ok(refused.length <= meanwhile.length * count / targets.length, `${refused.length} of ${meanwhile.length}`);
});

When('another {int} seconds pass', async function (this: SystemWorld, seconds: number) {
	const fleet = getFleet(this);
	await fleet.advance(fleet.now + (seconds * 1000));
});

Then('a log line contains {string}', function (this: SystemWorld, text: string) {
	const {lines} = getFleet(this);
	assert.ok(lines.some(line => line.includes(text)), lines.filter(line => line.includes('target-0')).slice(0, 8).join('\n'));
});

Then('those {int} targets get at least half of their share of the requests in the last {int} seconds', function (this: SystemWorld, count: number, seconds: number) {
	const {arrivals, targets, now} = getFleet(this);
	const late = arrivals.filter(({at}) => at >= now - (seconds * 1000));
	const received = late.filter(({target}) => (this.notes.get('refusing') as SimulatedTarget[]).includes(target));
	assert.ok(received.length >= late.length * count / targets.length / 2, `${received.length} of ${late.length}`);
});

Then('at least {int} in {int} of the callers during that time are served at the first attempt', function (this: SystemWorld, least: number, outOf: number) {
	const {from, until} = this.notes.get('span') as {from: number; until: number};
	const asked = getFleet(this).calls.filter(({askedAt}) => askedAt >= from && askedAt < until);
	const served = asked.filter(({isServed, tries}) => isServed && tries === 1);
	assert.ok(served.length >= asked.length * least / outOf, `${served.length} of ${asked.length}`);
});

Then('at least {int} in {int} of the callers of each second are served at the first attempt', function (this: SystemWorld, least: number, outOf: number) {
	const {calls} = getFleet(this);
	const {from, until} = this.notes.get('span') as {from: number; until: number};
	for (let start = from; start < until; start += 1000) {
		const asked = calls.filter(({askedAt}) => askedAt >= start && askedAt < start + 1000);
		const served = asked.filter(({isServed, tries}) => isServed && tries === 1);
		assert.ok(served.length >= asked.length * least / outOf, `from ${start} ms: ${served.length} of ${asked.length}`);
	}
});
