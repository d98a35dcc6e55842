import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {MapGroup} from '../support/map-group.js';
import {type SystemWorld} from '../support/system-world.js';

const getGroup = (world: SystemWorld): MapGroup => world.notes.get('group') as MapGroup;

const injectFaults = (group: MapGroup): void => {
	const {random} = group;
	if (random() < 0.01) {
		group.restartParticipant(Math.floor(random() * group.ranks));
	}

	if (random() < 0.01) {
		group.restartCoordinator();
	}

	if (random() < 0.02) {
		group.engines.ranks[Math.floor(random() * group.ranks)].isStalled = random() < 0.5;
	}

	if (random() < 0.02) {
		group.lostAnswers++;
	}

	if (random() < 0.02) {
		group.envelopes.reverse();
	}
};

const runFaults = async (seed: number): Promise<MapGroup> => {
	const group = new MapGroup(4, seed % 3 !== 0, seed);
	const {random} = group;
	group.isLost = () => random() < 0.05;
	group.isDuplicated = () => random() < 0.1;
	let fence = 1;
	for (let turn = 0; turn < 400; turn++) {
		if (random() < 0.05) {
			const isStale = random() < 0.2;
			group.propose(isStale ? Math.max(1, fence - 1) : ++fence, Math.max(...group.epochs) + 1);
		}

		injectFaults(group);
		await group.turn();
	}

	group.isLost = () => false;
	group.isDuplicated = () => false;
	group.lostAnswers = 0;
	for (const rank of group.engines.ranks) {
		rank.isStalled = false;
	}

	return group;
};

Given('a group of {int} ranks', function (this: SystemWorld, ranks: number) {
	this.notes.set('group', new MapGroup(ranks, true));
});

Given('a group of {int} ranks whose engines ignore fencing numbers', function (this: SystemWorld, ranks: number) {
	this.notes.set('group', new MapGroup(ranks, false));
});

When(/^(?:a|the earlier) planner proposes epoch (\d+) with fencing number (\d+)$/, function (this: SystemWorld, epoch: string, fence: string) { // eslint-disable-line require-unicode-regexp
	getGroup(this).propose(Number(fence), Number(epoch));
});

When('a planner proposes the next epoch with fencing number {int}', async function (this: SystemWorld, fence: number) {
	const group = getGroup(this);
	const next = Math.max(...group.epochs) + 1;
	group.propose(fence, next);
	this.notes.set('next', next);
});

When('the switch is {word}', async function (this: SystemWorld, phase: string) {
	const group = getGroup(this);
	assert.ok(await group.runUntil(() => group.coordinator.state === phase));
});

When('rank {int} stalls for {int} seconds', async function (this: SystemWorld, rank: number, seconds: number) {
	const group = getGroup(this);
	group.engines.ranks[rank].isStalled = true;
	await group.runTurns(seconds * 10);
	group.engines.ranks[rank].isStalled = false;
});

When('the process of rank {int} restarts', function (this: SystemWorld, rank: number) {
	const group = getGroup(this);
	group.restartParticipant(rank);
	if (rank === 0) {
		group.restartCoordinator();
	}
});

When('the process of every rank restarts', function (this: SystemWorld) {
	const group = getGroup(this);
	group.envelopes.length = 0;
	group.restartCoordinator();
	for (let rank = 0; rank < group.ranks; rank++) {
		group.restartParticipant(rank);
	}
});

Given('decisions to ranks 1 to 3 are lost', function (this: SystemWorld) {
	getGroup(this).isLost = ({to, message}) => message.type === 'map-decision' && to !== 0;
});

When('rank 0\'s engine has received the decision', async function (this: SystemWorld) {
	const group = getGroup(this);
	assert.ok(await group.runUntil(() => group.engines.ranks[0].switchStep !== undefined));
});

When('messages are delivered again', function (this: SystemWorld) {
	getGroup(this).isLost = () => false;
});

When('the next answer of rank 0\'s engine is lost', function (this: SystemWorld) {
	getGroup(this).lostAnswers = 1;
});

When('{int} turns pass', async function (this: SystemWorld, count: number) {
	await getGroup(this).runTurns(count);
});

Given('the orders to rank 3 of proposal 5 are delayed', function (this: SystemWorld) {
	const group = getGroup(this);
	const delayed: MapGroup['envelopes'] = [];
	this.notes.set('delayed', delayed);
	group.isLost = parcel => {
		const isDelayed = parcel.to === 3 && 'fence' in parcel.message && parcel.message.fence === 5;
		if (isDelayed) {
			delayed.push(parcel);
		}

		return isDelayed;
	};
});

When('the delayed orders arrive after those of proposal 6', async function (this: SystemWorld) {
	const group = getGroup(this);
	assert.ok(await group.runUntil(() => group.engines.ranks[3].staged?.map[0][0][0] === 6));
	group.isLost = () => false;
	// They arrive before all messages that are in transit now.
	group.envelopes.unshift(...this.notes.get('delayed') as MapGroup['envelopes']);
});

Given('fencing numbers cannot be read from the platform', function (this: SystemWorld) {
	getGroup(this).platformFence = undefined;
});

When('fencing numbers can be read from the platform again', async function (this: SystemWorld) {
	const group = getGroup(this);
	group.platformFence = 0;
	await group.runTurns(1300);
	group.propose(7, 1);
});

Then('the switch ends', async function (this: SystemWorld) {
	const group = getGroup(this);
	const isOver = (): boolean => ['idle', 'unread'].includes(group.coordinator.state) && group.participants.every(({state}) => state !== 'prepared');
	assert.ok(await group.runUntil(() => group.envelopes.length === 0 && isOver()));
});

Then(/^all ranks eventually use epoch (\d+)$/, async function (this: SystemWorld, epoch: string) { // eslint-disable-line require-unicode-regexp
	const group = getGroup(this);
	assert.ok(await group.runUntil(() => group.epochs.length === 1 && group.epochs[0] === Number(epoch)), `epochs ${group.epochs.join(', ')}`);
});

Then('all ranks eventually use that epoch', async function (this: SystemWorld) {
	const group = getGroup(this);
	const next = this.notes.get('next') as number;
	assert.ok(await group.runUntil(() => group.epochs.length === 1 && group.epochs[0] === next), `epochs ${group.epochs.join(', ')}`);
});

Then('all ranks use epoch {int}', function (this: SystemWorld, epoch: number) {
	assert.deepEqual(getGroup(this).epochs, [epoch]);
});

Then('all ranks use the same epoch', function (this: SystemWorld) {
	assert.equal(getGroup(this).epochs.length, 1);
});

Then('every rank uses the map of proposal {int}', function (this: SystemWorld, fence: number) {
	for (const {inUse} of getGroup(this).engines.ranks) {
		assert.deepEqual(inUse, [[[fence]]]);
	}
});

Then('every step so far used one map, and steps continue', async function (this: SystemWorld) {
	const group = getGroup(this);
	const before = group.engines.step;
	await group.runTurns(60);
	assert.ok(group.engines.step > before, 'the group has stalled');
	assert.deepEqual(group.engines.findMixedSteps(), []);
});

When('{int} groups of {int} ranks switch maps while messages are lost, duplicated and delayed, ranks stall and processes restart', async function (this: SystemWorld, count: number, _ranks: number) {
	const groups: MapGroup[] = [];
	for (let seed = 1; seed <= count; seed++) {
		groups.push(await runFaults(seed));
	}

	this.notes.set('groups', groups);
});

Then('no step of any group used two maps', function (this: SystemWorld) {
	const groups = this.notes.get('groups') as MapGroup[];
	for (const [index, group] of groups.entries()) {
		assert.deepEqual(group.engines.findMixedSteps(), [], `seed ${index + 1}`);
	}

	assert.ok(groups.some(({commits}) => commits.length > 1), 'no group ever switched');
});

Then('every group continues once the failures end', async function (this: SystemWorld) {
	for (const [index, group] of (this.notes.get('groups') as MapGroup[]).entries()) {
		await group.runTurns(100);
		const before = group.engines.step;
		await group.runTurns(10);
		assert.ok(group.engines.step > before, `seed ${index + 1} has stalled: ${JSON.stringify(group.engines.ranks)}`);
		assert.deepEqual(group.engines.findMixedSteps(), [], `seed ${index + 1}`);
	}
});
