import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {getCountInterval} from '../../src/expert-balance/get-count-interval.js';
import {LoadMeter} from '../../src/expert-balance/load-meter.js';
import {RankFleet} from '../support/rank-fleet.js';
import {type SystemWorld} from '../support/system-world.js';

const getFleet = (world: SystemWorld): RankFleet => world.notes.get('fleet') as RankFleet;

/** Longest time for which a scenario waits for what it is about, milliseconds. */
const patienceMs = 10_000;

const isHeld = async (fleet: RankFleet): Promise<boolean> => {
	const reports = await Promise.all([0, 1, 2, 3].map(async rank => fleet.group.openEngine(rank).readReport()));
	return reports.some(({heldStep}) => heldStep !== undefined);
};

const isArmed = async (fleet: RankFleet): Promise<boolean> => {
	const reports = await Promise.all([0, 1, 2, 3].map(async rank => fleet.group.openEngine(rank).readReport()));
	return reports.some(({armed}) => armed !== undefined);
};

const waitFor = async (fleet: RankFleet, condition: (fleet: RankFleet) => Promise<boolean>): Promise<void> => {
	const end = fleet.now + patienceMs;
	while (!await condition(fleet)) {
		assert.ok(fleet.now < end, fleet.log.join('\n'));
		await fleet.run(20);
	}
};

const torment = async (seed: number): Promise<RankFleet> => {
	const fleet = new RankFleet(seed);
	const {random, group} = fleet;
	fleet.followAll(fleet.elect(0));
	group.options.delayedShare = random() * 0.4;
	group.options.unansweredShare = random() * 0.3;
	fleet.lossShare = random() * 0.2;
	fleet.hasEntry = random() < 0.5;
	await fleet.run(30_000, () => {
		const rank = Math.floor(random() * 4);
		const luck = random();
		if (luck < 0.01) {
			group.shiftDemand();
		} else if (luck < 0.014) {
			fleet.restartMember(rank);
		} else if (luck < 0.018) {
			fleet.frozen.add(rank);
		} else if (luck < 0.03) {
			fleet.frozen.delete(rank);
		} else if (luck < 0.034) {
			// The planner before may live on, awake or not, and not know that its term is over.
			const last = fleet.planners.at(-1)!;
			last.isAlive = random() < 0.7;
			last.isFrozen = random() < 0.5;
			fleet.elect(rank);
		} else if (luck < 0.07) {
			fleet.follow(rank, fleet.planners.at(-1)!);
		} else if (luck < 0.08) {
			fleet.planners[Math.floor(random() * fleet.planners.length)].isFrozen = false;
		} else if (luck < 0.0815) {
			group.startNextEpoch();
		}
	});
	group.options.delayedShare = 0;
	group.options.unansweredShare = 0;
	fleet.lossShare = 0;
	fleet.frozen.clear();
	fleet.followAll(fleet.elect(1));
	await fleet.run(15_000);
	return fleet;
};

Given('a lock-step group with a planner', function (this: SystemWorld) {
	const fleet = new RankFleet(11);
	fleet.followAll(fleet.elect(0));
	this.notes.set('fleet', fleet);
});

Given('a lock-step group with a planner, whose passes take {int} milliseconds and messages as long', function (this: SystemWorld, passMs: number) {
	const fleet = new RankFleet(11, passMs);
	fleet.latencyMs = 20;
	fleet.followAll(fleet.elect(0));
	this.notes.set('fleet', fleet);
});

Given('an entry in its reach', function (this: SystemWorld) {
	getFleet(this).hasEntry = true;
});

Then('the entry has ordered every hold', function (this: SystemWorld) {
	const {group, orderedAside} = getFleet(this);
	assert.ok(orderedAside > 0);
	assert.equal(group.holds, orderedAside);
});

Given('half of the orders are left unanswered and carried out late', function (this: SystemWorld) {
	getFleet(this).group.options.delayedShare = 0.5;
});

When('{int} second(s) pass(es)', async function (this: SystemWorld, seconds: number) {
	await getFleet(this).run(seconds * 1000);
});

When('{int} seconds pass with a shift each {int} seconds', async function (this: SystemWorld, seconds: number, each: number) {
	const fleet = getFleet(this);
	for (let passed = 0; passed < seconds; passed += each) {
		fleet.group.shiftDemand();
		await fleet.run(each * 1000);
	}
});

When('the planner dies as soon as a rank is armed', async function (this: SystemWorld) {
	const fleet = getFleet(this);
	await waitFor(fleet, isArmed);
	fleet.planners[0].isAlive = false;
});

When('the planner stands still as soon as a rank is armed', async function (this: SystemWorld) {
	const fleet = getFleet(this);
	await waitFor(fleet, isArmed);
	fleet.planners[0].isFrozen = true;
});

When('the planner\'s VM stands still as soon as the group is held', async function (this: SystemWorld) {
	const fleet = getFleet(this);
	await waitFor(fleet, isHeld);
	fleet.planners[0].isFrozen = true;
	fleet.frozen.add(0);
});

When('the VM of rank {int} is back', function (this: SystemWorld, rank: number) {
	getFleet(this).frozen.delete(rank);
});

When('the VM of rank {int} stands still as soon as the group is held', async function (this: SystemWorld, rank: number) {
	const fleet = getFleet(this);
	await waitFor(fleet, isHeld);
	fleet.frozen.add(rank);
});

When('another planner takes office', function (this: SystemWorld) {
	const fleet = getFleet(this);
	fleet.followAll(fleet.elect(3));
});

When('another planner takes office, whose clock is {int} s ahead', async function (this: SystemWorld, seconds: number) {
	const fleet = getFleet(this);
	fleet.followAll(fleet.elect(3, seconds * 1000));
});

When('the first planner wakes', function (this: SystemWorld) {
	getFleet(this).planners[0].isFrozen = false;
});

When('groups are tormented with seeds {int} to {int}', {timeout: 120_000}, async function (this: SystemWorld, first: number, last: number) {
	const fleets = new Map<number, RankFleet>();
	for (let seed = first; seed <= last; seed++) {
		fleets.set(seed, await torment(seed));
	}

	this.notes.set('fleets', fleets);
});

Then('the group has changed its map', function (this: SystemWorld) {
	assert.ok(getFleet(this).group.switches > 0, getFleet(this).log.join('\n'));
});

Then('no pass began on two maps', function (this: SystemWorld) {
	assert.deepEqual(getFleet(this).group.mixedSteps, []);
});

Then('no pass was held back longer than {int} milliseconds', function (this: SystemWorld, ms: number) {
	assert.ok(getFleet(this).group.longestHoldMs <= ms, String(getFleet(this).group.longestHoldMs));
});

Then('no rank is held', async function (this: SystemWorld) {
	assert.equal(await isHeld(getFleet(this)), false, getFleet(this).log.join('\n'));
});

Then('none of them began a pass on two maps', function (this: SystemWorld) {
	const mixed = [...this.notes.get('fleets') as Map<number, RankFleet>].filter(([, fleet]) => fleet.group.mixedSteps.length > 0);
	assert.deepEqual(mixed.map(([seed, fleet]) => [seed, fleet.group.mixedSteps]), []);
});

Then('all of them are free to go on afterwards', async function (this: SystemWorld) {
	const stuck: Array<[number, string]> = [];
	for (const [seed, fleet] of this.notes.get('fleets') as Map<number, RankFleet>) {
		const {step} = fleet.group;
		await fleet.run(3000);
		if (fleet.group.step < step + 20) {
			stuck.push([seed, fleet.log.slice(-12).join('\n')]);
		}
	}

	assert.deepEqual(stuck, []);
});

Then('counts of {int} ranks, {int} layers and {int} experts are read each {int} ms', (ranks: number, layers: number, experts: number, ms: number) => {
	const chosen = Array.from({length: layers}, () => Array.from({length: experts}, () => 0));
	assert.equal(getCountInterval(ranks, {chosen}), ms);
});

Given('ranks that are heard each {int} ms, one after another', function (this: SystemWorld, intervalMs: number) {
	this.notes.set('interval', intervalMs);
});

When('each has chosen its own expert {int} times in each round', function (this: SystemWorld, choices: number) {
	const intervalMs = this.notes.get('interval') as number;
	const ranks = 8;
	const rounds = 5;
	const meter = new LoadMeter();
	for (let turn = 0; turn < ranks * rounds; turn++) {
		const rank = turn % ranks;
		const total = choices * (1 + Math.floor(turn / ranks));
		const chosen = [Array.from({length: ranks}, (_empty, expert) => expert === rank ? total : 0)];
		meter.take(rank, {step: turn, epoch: 1, chosen}, turn * intervalMs / ranks);
	}

	this.notes.set('loads', meter.get(((ranks * rounds) - 1) * intervalMs / ranks)[0]);
});

Then('the load of no expert is below half of another\'s', function (this: SystemWorld) {
	const loads = this.notes.get('loads') as number[];
	assert.ok(Math.min(...loads) >= Math.max(...loads) / 2, String(loads));
});

const countOne = (bornAt: number, step: number, counts: readonly number[]) => ({
	step, epoch: 1, bornAt, chosen: [[...counts]],
});

Given('a rank whose engine has counted {int} choices of expert 1', function (this: SystemWorld, count: number) {
	const meter = new LoadMeter();
	meter.take(0, countOne(1000, 1, [count, 0]), 0);
	this.notes.set('meter', meter);
});

When('the engine starts again and has counted {int} choices of expert 2', function (this: SystemWorld, count: number) {
	(this.notes.get('meter') as LoadMeter).take(0, countOne(2000, 1, [0, count]), 200);
});

Then('no choice is known of since', function (this: SystemWorld) {
	assert.deepEqual((this.notes.get('meter') as LoadMeter).get(200), []);
});

When('it has counted {int} more of expert 2', function (this: SystemWorld, count: number) {
	(this.notes.get('meter') as LoadMeter).take(0, countOne(2000, 2, [0, 600 + count]), 400);
});

Then('only expert 2 has been chosen', function (this: SystemWorld) {
	const [loads] = (this.notes.get('meter') as LoadMeter).get(400);
	assert.equal(loads[0], 0);
	assert.ok(loads[1] > 0);
});

When('all of its engines start again', function (this: SystemWorld) {
	getFleet(this).group.restartEngines();
});

Then('the group is not on the map that it was formed with', async function (this: SystemWorld) {
	const {mapVersion} = await getFleet(this).group.openEngine(0).readReport();
	assert.ok(mapVersion > 0, getFleet(this).log.join('\n'));
});
