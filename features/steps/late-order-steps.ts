import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {RankTracker} from '../../src/expert-balance/rank-tracker.js';
import {type RankOrder} from '../../src/expert-balance/rank-order.js';
import {type RankReport} from '../../src/expert-balance/rank-report.js';
import {type GroupHarness} from '../support/group-harness.js';
import {type SystemWorld} from '../support/system-world.js';

const getHarness = (world: SystemWorld): GroupHarness => world.notes.get('harness') as GroupHarness;

/** Maximum time for which a scenario waits for a condition, milliseconds. */
const waitTimeoutMs = 20_000;
const ranks = [0, 1, 2, 3];
/** Time of a pass while there is little traffic, and otherwise, milliseconds. */
const slowStepMs = 300;
const usualStepMs = 60;
/** Passes until a hold that is far ahead, so that the next planners can replace the maps meanwhile. */
const leastAheadSteps = 12;

const readReports = async ({group}: GroupHarness): Promise<RankReport[]> => Promise.all(ranks.map(async rank => group.openEngine(rank).readReport()));

const until = async (harness: GroupHarness, condition: () => boolean | Promise<boolean>): Promise<void> => {
	const end = harness.now + waitTimeoutMs;
	while (!await condition()) {
		assert.ok(harness.now < end, `${condition.toString()}\n${harness.log.join('\n')}`);
		await harness.run(20);
	}
};

/* Waits until the group stands at its hold with all ranks armed but one, or until it has not come to that. */
const untilOthersAreArmed = async (harness: GroupHarness, seconds: number): Promise<void> => {
	const end = harness.now + (seconds * 1000);
	await until(harness, async () => {
		const reports = await readReports(harness);
		const isWaiting = reports.some(({heldStep, step}) => heldStep === step + 1);
		return harness.now >= end || (isWaiting && reports.filter(({armed}) => armed).length === ranks.length - 1);
	});
};

const waitsFor = (harness: GroupHarness, type: RankOrder['type'], count = 1): boolean => harness.group.heldBack.filter(({order}) => order.type === type).length >= count;

/* Orders of these types get no answer and wait: to one rank, or to all if it is undefined. */
const holdBack = (harness: GroupHarness, types: ReadonlyArray<RankOrder['type']>, rank?: number): void => {
	harness.group.isHeldBack = (to, {type}) => types.includes(type) && (rank === undefined || to === rank);
};

const replacePlanner = (harness: GroupHarness, rank = (harness.planners.at(-1)!.rank + 1) % ranks.length): void => {
	harness.planners.at(-1)!.isAlive = false;
	harness.followAll(harness.startPlanner(rank));
};

Given('the order to hold the group waits, and its planner is replaced', async function (this: SystemWorld) {
	const harness = getHarness(this);
	holdBack(harness, ['hold']);
	await until(harness, () => waitsFor(harness, 'hold'));
	// The group is nearly idle, so that it does not reach the step of the hold before the next planner has planned.
	harness.group.options.stepMs = slowStepMs;
	replacePlanner(harness);
});

When('the next planner orders other maps to be prepared, and the hold takes effect', async function (this: SystemWorld) {
	const harness = getHarness(this);
	holdBack(harness, []);
	const before = harness.group.countOrders();
	await until(harness, () => harness.group.countOrders().every((orders, rank) => orders > before[rank]));
	harness.group.carryOut('hold');
	const after = await readReports(harness);
	assert.ok(after.some(({heldStep}) => heldStep !== undefined), harness.log.join('\n'));
});

const waitForRelease = async (harness: GroupHarness, rank?: number): Promise<void> => {
	holdBack(harness, ['release']);
	await until(harness, () => waitsFor(harness, 'release'));
	replacePlanner(harness, rank);
};

When('the release of the hold waits, and its planner is replaced', async function (this: SystemWorld) {
	await waitForRelease(getHarness(this));
});

When('the release of the hold waits, and its planner is replaced by one beside the first', async function (this: SystemWorld) {
	const harness = getHarness(this);
	await waitForRelease(harness, harness.planners[0].rank);
});

When('the release takes effect as soon as a rank is armed, or {int} seconds later', async function (this: SystemWorld, seconds: number) {
	const harness = getHarness(this);
	const {rank} = harness.group.heldBack.find(({order}) => order.type === 'release')!;
	holdBack(harness, ['release', 'arm'], rank);
	harness.group.options.stepMs = usualStepMs;
	await untilOthersAreArmed(harness, seconds);
	harness.group.carryOut('release');
	await harness.run(200);
	holdBack(harness, []);
});

Given('it holds the group far ahead, as most of its orders have had no answer, and is replaced', async function (this: SystemWorld) {
	const harness = getHarness(this);
	const {group} = harness;
	group.options.unansweredShare = 0.6;
	await until(harness, async () => {
		const reports = await readReports(harness);
		return reports.some(({heldStep, step}) => heldStep !== undefined && heldStep - step >= leastAheadSteps);
	});
	group.options.unansweredShare = 0;
	group.options.stepMs = slowStepMs;
	replacePlanner(harness);
});

When('the hold is released, and only holds of the same step reach the group', async function (this: SystemWorld) {
	const harness = getHarness(this);
	const {order: late} = harness.group.heldBack.find(({order}) => order.type === 'release')!;
	const {step} = late as Extract<RankOrder, {type: 'release'}>;
	harness.group.isHeldBack = (_rank, order) => order.type === 'hold' && order.step !== step;
	await until(harness, async () => {
		const reports = await readReports(harness);
		return reports.every(({heldStep}) => heldStep === undefined);
	});
	await until(harness, async () => {
		const reports = await readReports(harness);
		return reports.some(report => report.heldStep === step || report.step >= step);
	});
});

Given('the orders of {word} to rank {int} wait, and the planner is replaced as soon as there is one', async function (this: SystemWorld, type: RankOrder['type'], rank: number) {
	const harness = getHarness(this);
	holdBack(harness, [type], rank);
	await until(harness, () => waitsFor(harness, type));
	replacePlanner(harness);
});

When('the orders of {word} take effect after {int} ms', async function (this: SystemWorld, type: RankOrder['type'], ms: number) {
	const harness = getHarness(this);
	await harness.run(ms);
	holdBack(harness, []);
	harness.group.carryOut(type);
});

When('its order to prepare rank {int} waits, and it is replaced', async function (this: SystemWorld, rank: number) {
	const harness = getHarness(this);
	holdBack(harness, ['prepare']);
	await until(harness, () => waitsFor(harness, 'prepare', ranks.length));
	harness.group.heldBack = harness.group.heldBack.filter(waiting => waiting.order.type !== 'prepare' || waiting.rank === rank);
	replacePlanner(harness);
});

When('the hold takes effect, and the order to prepare as soon as all other ranks are armed, or {int} seconds later', async function (this: SystemWorld, seconds: number) {
	const harness = getHarness(this);
	const {rank} = harness.group.heldBack.find(({order}) => order.type === 'prepare')!;
	holdBack(harness, ['arm'], rank);
	harness.group.carryOut('hold');
	await untilOthersAreArmed(harness, seconds);
	harness.group.carryOut('prepare');
	holdBack(harness, []);
	harness.group.options.stepMs = usualStepMs;
});

Given('the orders to arm wait under a hold, and the planner is replaced', async function (this: SystemWorld) {
	const harness = getHarness(this);
	holdBack(harness, ['arm']);
	await until(harness, () => waitsFor(harness, 'arm', ranks.length));
	replacePlanner(harness);
});

When('the next planner has replaced the map at all ranks but {int}, and rank {int} is armed', async function (this: SystemWorld, rank: number, armedRank: number) {
	const harness = getHarness(this);
	const version = harness.planners.at(-1)!.term * 100_000;
	holdBack(harness, ['prepare'], rank);
	await until(harness, async () => {
		const reports = await readReports(harness);
		return reports.filter(({preparedVersion}) => (preparedVersion ?? 0) > version).length === ranks.length - 1;
	});
	harness.group.heldBack = harness.group.heldBack.filter(waiting => waiting.order.type === 'arm' && waiting.rank === armedRank);
	harness.group.carryOut('arm');
	const reports = await readReports(harness);
	assert.deepEqual(reports.map(({armed}) => armed !== undefined), ranks.map(index => index === armedRank));
	// Records the orders, and lets all take effect.
	const orders: string[] = [];
	harness.group.isHeldBack = (to, {type}) => {
		orders.push(`${type} ${to}`);
		return false;
	};

	this.notes.set('orders', orders);
});

Then('rank {int} was ordered to disarm', function (this: SystemWorld, rank: number) {
	const orders = this.notes.get('orders') as string[];
	assert.ok(orders.includes(`disarm ${rank}`), orders.join(', '));
});

Then('the group goes on, and changes its map again', async function (this: SystemWorld) {
	const harness = getHarness(this);
	const {step, switches} = harness.group;
	harness.group.shiftDemand();
	await until(harness, () => harness.group.step > step + 20 && harness.group.switches > switches);
	await until(harness, async () => {
		const reports = await readReports(harness);
		return reports.every(({heldStep, armed}) => heldStep === undefined && armed === undefined);
	});
});

Given('a tracker of a planner\'s term {int}', function (this: SystemWorld, term: number) {
	this.notes.set('tracker', new RankTracker({
		group: 'group',
		term,
		openEngine: () => assert.fail('no engine is read'),
		listEngines: async () => [],
		onPasses: () => undefined,
		log: () => undefined,
	}));
});

When('all ranks\' reports arrive {int} ms after they were sent, in answer to {}', function (this: SystemWorld, waitedMs: number, planner: string) {
	const sign = planner.startsWith('term ') ? {term: Number(planner.slice('term '.length)), sentAt: 0, agoMs: 0} : undefined;
	const tracker = this.notes.get('tracker') as RankTracker;
	for (const rank of ranks) {
		tracker.recordReport({
			type: 'rank-status',
			term: 6,
			engineAddress: String(rank),
			sign,
			report: {
				group: 'group', epoch: 1, rank, size: ranks.length, isOpen: true, step: 1, mapVersion: 0, pace: 1,
			},
		}, waitedMs);
	}

	this.notes.set('now', waitedMs);
});

Then('the tracker has reports for a decision: {word}', function (this: SystemWorld, has: string) {
	const reports = (this.notes.get('tracker') as RankTracker).getReports(this.notes.get('now') as number);
	assert.equal(reports === undefined ? 'no' : 'yes', has);
});
