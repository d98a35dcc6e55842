import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {type CallFleet} from '../support/call-fleet.js';
import {type SystemWorld} from '../support/system-world.js';

/** Crashes after which the request is known to cause them. */
const crashesToTell = 3;

const getFleet = (world: SystemWorld): CallFleet => world.notes.get('fleet') as CallFleet;
const listCrashes = (world: SystemWorld): number[] => getFleet(world).arrivals.filter(({isCrashing}) => isCrashing).map(({at}) => at);

Given('each of their requests is another one', function (this: SystemWorld) {
	getFleet(this).isAlike = false;
});

Given('their requests are all alike', function (this: SystemWorld) {
	getFleet(this).isAlike = true;
});

When('a request that crashes its targets comes each {int} ms from second {int} to {int}', async function (this: SystemWorld, everyMs: number, fromSecond: number, untilSecond: number) {
	const fleet = getFleet(this);
	const [from, until] = [fromSecond * 1000, untilSecond * 1000];
	await fleet.pass(from);
	while (fleet.now < until) {
		fleet.crash();
		await fleet.pass(fleet.now + everyMs);
	}

	// Whoever asked last has its answer.
	await fleet.pass(until + 2000);
	this.notes.set('span', {from, until});
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
