import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {getCountInterval} from '../../src/expert-balance/get-count-interval.js';
import {LoadEstimator} from '../../src/expert-balance/load-estimator.js';
import {GroupHarness} from '../support/group-harness.js';
import {type SystemWorld} from '../support/system-world.js';

const getHarness = (world: SystemWorld): GroupHarness => world.notes.get('harness') as GroupHarness;

/** Maximum time for which a scenario waits for a condition, milliseconds. */
const waitTimeoutMs = 10_000;

const isHeld = async (harness: GroupHarness): Promise<boolean> => {
	const reports = await Promise.all([0, 1, 2, 3].map(async rank => harness.group.openEngine(rank).readReport()));
	return reports.some(({heldStep}) => heldStep !== undefined);
};

const isArmed = async (harness: GroupHarness): Promise<boolean> => {
	const reports = await Promise.all([0, 1, 2, 3].map(async rank => harness.group.openEngine(rank).readReport()));
	return reports.some(({armed}) => armed !== undefined);
};

const waitFor = async (harness: GroupHarness, condition: (harness: GroupHarness) => Promise<boolean>): Promise<void> => {
	const end = harness.now + waitTimeoutMs;
	while (!await condition(harness)) {
		assert.ok(harness.now < end, harness.log.join('\n'));
		await harness.run(20);
	}
};

const runFaults = async (seed: number): Promise<GroupHarness> => {
	const harness = new GroupHarness(seed);
	const {random, group} = harness;
	harness.followAll(harness.startPlanner(0));
	group.options.delayedShare = random() * 0.4;
	group.options.unansweredShare = random() * 0.3;
	harness.lossShare = random() * 0.2;
	harness.hasEntry = random() < 0.5;
	await harness.run(30_000, () => {
		const rank = Math.floor(random() * 4);
		const draw = random();
		if (draw < 0.01) {
			group.shiftDemand();
		} else if (draw < 0.014) {
			harness.restartAgent(rank);
		} else if (draw < 0.018) {
			harness.suspended.add(rank);
		} else if (draw < 0.03) {
			harness.suspended.delete(rank);
		} else if (draw < 0.034) {
			// The former planner may keep running, suspended or not, without knowing that its term has ended.
			const last = harness.planners.at(-1)!;
			last.isAlive = random() < 0.7;
			last.isSuspended = random() < 0.5;
			harness.startPlanner(rank);
		} else if (draw < 0.07) {
			harness.follow(rank, harness.planners.at(-1)!);
		} else if (draw < 0.08) {
			harness.planners[Math.floor(random() * harness.planners.length)].isSuspended = false;
		} else if (draw < 0.0815) {
			group.startNextEpoch();
		}
	});
	group.options.delayedShare = 0;
	group.options.unansweredShare = 0;
	harness.lossShare = 0;
	harness.suspended.clear();
	harness.followAll(harness.startPlanner(1));
	await harness.run(15_000);
	return harness;
};

Given('a lock-step group with a planner', function (this: SystemWorld) {
	const harness = new GroupHarness(11);
	harness.followAll(harness.startPlanner(0));
	this.notes.set('harness', harness);
});

Given('a lock-step group with a planner, whose passes and messages each take {int} milliseconds', function (this: SystemWorld, passMs: number) {
	const harness = new GroupHarness(11, passMs);
	harness.latencyMs = 20;
	harness.followAll(harness.startPlanner(0));
	this.notes.set('harness', harness);
});

Given('the store does not answer the planner', function (this: SystemWorld) {
	getHarness(this).store.setFault('planner-1', 'down');
});

When('the store answers the planner', function (this: SystemWorld) {
	getHarness(this).store.setFault('planner-1', 'none');
});

Then('the group has not been held', function (this: SystemWorld) {
	assert.equal(getHarness(this).group.holds, 0);
});

Given('an entry that the planner can reach', function (this: SystemWorld) {
	getHarness(this).hasEntry = true;
});

Then('the entry has ordered every hold', function (this: SystemWorld) {
	const {group, ordersViaEntry} = getHarness(this);
	assert.ok(ordersViaEntry > 0);
	assert.equal(group.holds, ordersViaEntry);
});

Given('half of the orders are not answered and take effect late', function (this: SystemWorld) {
	getHarness(this).group.options.delayedShare = 0.5;
});

When('{int} second(s) pass(es)', async function (this: SystemWorld, seconds: number) {
	await getHarness(this).run(seconds * 1000);
});

When('{int} seconds pass with a shift of demand every {int} seconds', async function (this: SystemWorld, seconds: number, each: number) {
	const harness = getHarness(this);
	for (let passed = 0; passed < seconds; passed += each) {
		harness.group.shiftDemand();
		await harness.run(each * 1000);
	}
});

When('the engines refuse to copy experts', function (this: SystemWorld) {
	const {options} = getHarness(this).group;
	Object.assign(options, {shape: {...options.shape, maximumNew: 0}});
});

Then('the planner has proposed maps for at least {int} demands', function (this: SystemWorld, demands: number) {
	const {log} = getHarness(this);
	const skews = new Set(log.flatMap(line => /proposed.*skew (?<before>[\d.]+)/v.exec(line)?.groups?.before ?? []));
	assert.ok(skews.size >= demands, log.join('\n'));
});

Then('each map but the first was in force at most {int} milliseconds after it was proposed', function (this: SystemWorld, ms: number) {
	const {log} = getHarness(this);
	const times = log.flatMap(line => /in force after (?<ms>\d+) ms/v.exec(line)?.groups?.ms ?? []).map(Number).slice(1);
	assert.ok(times.length > 0 && Math.max(...times) <= ms, `${times.join(', ')} ms\n${log.join('\n')}`);
});

When('the process of rank {int} ends for good as soon as the group is held', async function (this: SystemWorld, rank: number) {
	const harness = getHarness(this);
	await waitFor(harness, isHeld);
	harness.ended.add(rank);
});

When('the planner crashes as soon as a rank is armed', async function (this: SystemWorld) {
	const harness = getHarness(this);
	await waitFor(harness, isArmed);
	harness.planners[0].isAlive = false;
});

When('the planner crashes', function (this: SystemWorld) {
	getHarness(this).planners.at(-1)!.isAlive = false;
});

When('the planner is suspended as soon as a rank is armed', async function (this: SystemWorld) {
	const harness = getHarness(this);
	await waitFor(harness, isArmed);
	harness.planners[0].isSuspended = true;
});

When('the planner\'s VM is suspended as soon as the group is held', async function (this: SystemWorld) {
	const harness = getHarness(this);
	await waitFor(harness, isHeld);
	harness.planners[0].isSuspended = true;
	harness.suspended.add(0);
});

When('the VM of rank {int} resumes', function (this: SystemWorld, rank: number) {
	getHarness(this).suspended.delete(rank);
});

When('the VM of rank {int} is suspended as soon as the group is held', async function (this: SystemWorld, rank: number) {
	const harness = getHarness(this);
	await waitFor(harness, isHeld);
	harness.suspended.add(rank);
});

When('another planner is elected', function (this: SystemWorld) {
	const harness = getHarness(this);
	harness.followAll(harness.startPlanner(3));
});

When('another planner is elected, whose clock is {int} s ahead', async function (this: SystemWorld, seconds: number) {
	const harness = getHarness(this);
	harness.followAll(harness.startPlanner(3, seconds * 1000));
});

When('the first planner resumes', function (this: SystemWorld) {
	getHarness(this).planners[0].isSuspended = false;
});

When('groups run with injected faults, seeds {int} to {int}', {timeout: 120_000}, async function (this: SystemWorld, first: number, last: number) {
	const harnesses = new Map<number, GroupHarness>();
	for (let seed = first; seed <= last; seed++) {
		harnesses.set(seed, await runFaults(seed));
	}

	this.notes.set('harnesses', harnesses);
});

Then('the group has changed its map', function (this: SystemWorld) {
	assert.ok(getHarness(this).group.switches > 0, getHarness(this).log.join('\n'));
});

Then('no pass began on two maps', function (this: SystemWorld) {
	assert.deepEqual(getHarness(this).group.mixedSteps, []);
});

Then('no pass was delayed for more than {int} milliseconds', function (this: SystemWorld, ms: number) {
	assert.ok(getHarness(this).group.longestHoldMs <= ms, String(getHarness(this).group.longestHoldMs));
});

Then('no rank is held', async function (this: SystemWorld) {
	assert.equal(await isHeld(getHarness(this)), false, getHarness(this).log.join('\n'));
});

Then('none of them began a pass on two maps', function (this: SystemWorld) {
	const mixed = [...this.notes.get('harnesses') as Map<number, GroupHarness>].filter(([, harness]) => harness.group.mixedSteps.length > 0);
	assert.deepEqual(mixed.map(([seed, harness]) => [seed, harness.group.mixedSteps]), []);
});

Then('all of them continue after the faults end', async function (this: SystemWorld) {
	const stuck: Array<[number, string]> = [];
	for (const [seed, harness] of this.notes.get('harnesses') as Map<number, GroupHarness>) {
		const {step} = harness.group;
		await harness.run(3000);
		if (harness.group.step < step + 20) {
			stuck.push([seed, harness.log.slice(-12).join('\n')]);
		}
	}

	assert.deepEqual(stuck, []);
});

Then('counts of {int} ranks, {int} layers and {int} experts are read every {int} ms', (ranks: number, layers: number, experts: number, ms: number) => {
	const chosen = Array.from({length: layers}, () => Array.from({length: experts}, () => 0));
	assert.equal(getCountInterval(ranks, {chosen}), ms);
});

Given('ranks that report every {int} ms, one after another', function (this: SystemWorld, intervalMs: number) {
	this.notes.set('interval', intervalMs);
});

When('each has chosen its own expert {int} times in each round', function (this: SystemWorld, choices: number) {
	const intervalMs = this.notes.get('interval') as number;
	const ranks = 8;
	const rounds = 5;
	const meter = new LoadEstimator();
	for (let turn = 0; turn < ranks * rounds; turn++) {
		const rank = turn % ranks;
		const total = choices * (1 + Math.floor(turn / ranks));
		const chosen = [Array.from({length: ranks}, (_empty, expert) => expert === rank ? total : 0)];
		meter.record(rank, {step: turn, epoch: 1, chosen}, turn * intervalMs / ranks);
	}

	this.notes.set('loads', meter.getLoads(((ranks * rounds) - 1) * intervalMs / ranks)[0]);
});

Then('the load of no expert is below half of another\'s', function (this: SystemWorld) {
	const loads = this.notes.get('loads') as number[];
	assert.ok(Math.min(...loads) >= Math.max(...loads) / 2, String(loads));
});

const countOne = (bornAt: number, step: number, counts: readonly number[]) => ({
	step, epoch: 1, bornAt, chosen: [[...counts]],
});

Given('a rank whose engine has counted {int} choices of expert 1', function (this: SystemWorld, count: number) {
	const meter = new LoadEstimator();
	meter.record(0, countOne(1000, 1, [count, 0]), 0);
	this.notes.set('meter', meter);
});

When('the engine restarts and has counted {int} choices of expert 2', function (this: SystemWorld, count: number) {
	(this.notes.get('meter') as LoadEstimator).record(0, countOne(2000, 1, [0, count]), 200);
});

Then('no choices since the restart are known', function (this: SystemWorld) {
	assert.deepEqual((this.notes.get('meter') as LoadEstimator).getLoads(200), []);
});

When('it has counted {int} more choices of expert 2', function (this: SystemWorld, count: number) {
	(this.notes.get('meter') as LoadEstimator).record(0, countOne(2000, 2, [0, 600 + count]), 400);
});

Then('only expert 2 has been chosen', function (this: SystemWorld) {
	const [loads] = (this.notes.get('meter') as LoadEstimator).getLoads(400);
	assert.equal(loads[0], 0);
	assert.ok(loads[1] > 0);
});

When('all of its engines restart', function (this: SystemWorld) {
	getHarness(this).group.restartEngines();
});

Then('the group no longer uses its initial map', async function (this: SystemWorld) {
	const {mapVersion} = await getHarness(this).group.openEngine(0).readReport();
	assert.ok(mapVersion > 0, getHarness(this).log.join('\n'));
});
