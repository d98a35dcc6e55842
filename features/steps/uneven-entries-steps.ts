import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {type FleetSimulation} from '../support/fleet-simulation.js';
import {type SystemWorld} from '../support/system-world.js';

/** Time after a change after which callers are served as before, milliseconds. */
const settleMs = 3000;
/** Time after which the last callers of a span have their answers, milliseconds. */
const answerMs = 2000;

const getFleet = (world: SystemWorld): FleetSimulation => world.notes.get('fleet') as FleetSimulation;

Given('all targets answer', () => undefined);

Given('a quarter of the targets break off every answer', function (this: SystemWorld) {
	for (const [index, target] of getFleet(this).targets.entries()) {
		target.isBreakingOff = index % 4 === 0;
	}
});

const nameLimits = (fleet: FleetSimulation, share: number, everyNth: number): void => {
	const usual = fleet.requestsPerSecond / fleet.targets.length;
	for (const [index, target] of fleet.targets.entries()) {
		target.limit = index % everyNth === 0 ? usual * share : undefined;
	}
};

Given('half of the targets name limits of a tenth of their share', function (this: SystemWorld) {
	nameLimits(getFleet(this), 0.1, 2);
});

Given('all targets name limits of twice their share', function (this: SystemWorld) {
	nameLimits(getFleet(this), 2, 1);
});

When('callers use all entries for {int} s, and then two entries in turn get {int} tenths of them', async function (this: SystemWorld, seconds: number, tenths: number) {
	const fleet = getFleet(this);
	const times = [1, 2, 3].map(span => span * seconds * 1000);
	await fleet.advance(times[0]);
	for (const [entry, until] of times.slice(1).entries()) {
		fleet.favoured = {entry, share: tenths / 10};
		await fleet.advance(until);
	}

	await fleet.advance(times[2] + answerMs);
	this.notes.set('times', times);
});

Then('{int} s after each change requests are served at the first attempt at least {int} tenths as often as before', function (this: SystemWorld, seconds: number, tenths: number) {
	const {calls} = getFleet(this);
	const [calm, change, end] = this.notes.get('times') as number[];
	const getShare = (from: number, until: number): number => {
		const asked = calls.filter(({askedAt}) => askedAt >= from && askedAt < until);
		return asked.filter(({isServed, tries}) => isServed && tries === 1).length / asked.length;
	};

	const before = getShare(settleMs, calm);
	const later = [getShare(calm + (seconds * 1000), change), getShare(change + (seconds * 1000), end)];
	assert.ok(before > 0.5 && later.every(share => share >= before * tenths / 10), `${before.toFixed(3)} before, then ${later.map(share => share.toFixed(3)).join(' and ')}`);
});
