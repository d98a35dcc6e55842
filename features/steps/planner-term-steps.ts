import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {ElectionCluster} from '../support/election-cluster.js';
import {type SystemWorld} from '../support/system-world.js';

const getCluster = (world: SystemWorld): ElectionCluster => world.notes.get('election cluster') as ElectionCluster;
const longScenarioMs = 60_000;
const settleMs = 3000;
/** Time to recover after the last fault of a random mix, milliseconds. */
const recoveryMs = 8000;

Given('{int} processes that campaign for a planner key in a store', function (this: SystemWorld, count: number) {
	const cluster = new ElectionCluster(count, 3);
	this.onClose(() => {
		cluster.close();
	});
	cluster.store.put('others/1', 1);
	this.notes.set('election cluster', cluster);
});

When('one of them has been elected {string}', async function (this: SystemWorld, moment: string) {
	const cluster = getCluster(this);
	if (moment === 'after the copy') {
		cluster.store.takeCopy();
	}

	await cluster.pass(settleMs);
	if (moment === 'after a term in the copy') {
		cluster.store.takeCopy();
		const [first] = cluster.listPlanners();
		first.isSuspended = true;
		await cluster.pass(settleMs + settleMs);
		first.isSuspended = false;
		await cluster.pass(settleMs);
	}

	if (moment === 'before the copy') {
		cluster.store.takeCopy();
		cluster.store.put('others/2', 2);
		await cluster.pass(settleMs);
	}

	cluster.longestVacancyMs = 0;
});

When('the store is restored from that copy after {int} ms', async function (this: SystemWorld, awayMs: number) {
	await getCluster(this).restoreStore(awayMs);
});

When('it is lost, and the store is restored from that copy after {int} ms', async function (this: SystemWorld, awayMs: number) {
	const cluster = getCluster(this);
	const [lost] = cluster.listPlanners();
	lost.isSuspended = true;
	lost.view.close();
	cluster.candidates.splice(cluster.candidates.indexOf(lost), 1);
	await cluster.restoreStore(awayMs);
});

When('they run for {int} ms', {timeout: longScenarioMs}, async function (this: SystemWorld, ms: number) {
	await getCluster(this).pass(ms);
});

When('store restores and suspended planners are mixed by seed {int} for {int} ms', {timeout: longScenarioMs}, async function (this: SystemWorld, seed: number, ms: number) {
	getCluster(this).close();
	const cluster = new ElectionCluster(getCluster(this).candidates.length, seed);
	this.notes.set('election cluster', cluster);
	this.onClose(() => {
		cluster.close();
	});
	cluster.store.put('others/1', 1);
	cluster.store.takeCopy();
	while (cluster.now < ms) {
		await cluster.pass(200 + cluster.draw(2000));
		const candidate = cluster.candidates[cluster.draw(cluster.candidates.length)];
		const fault = cluster.draw(5);
		switch (fault) {
			case 0: {
				await cluster.restoreStore(cluster.draw(2) * cluster.draw(2500));

				break;
			}

			case 1: {
				cluster.store.takeCopy();

				break;
			}

			case 2: {
				candidate.isSuspended = !candidate.isSuspended;

				break;
			}

			default: {
				cluster.store.put(`others/${cluster.draw(9)}`, cluster.now);
			}
		}
	}

	for (const candidate of cluster.candidates) {
		candidate.isSuspended = false;
	}

	await cluster.pass(recoveryMs);
});

Then('one of them is the planner', function (this: SystemWorld) {
	const cluster = getCluster(this);
	assert.deepEqual(cluster.listPlanners().map(({id}) => `rank-${id}`), [cluster.store.read('planner')]);
});

Then('every term was higher than all earlier ones', function (this: SystemWorld) {
	const {terms} = getCluster(this);
	assert.ok(terms.length > 0);
	assert.deepEqual(terms, [...new Set(terms)].toSorted((one, other) => one - other));
});

Then('there was no planner for at most {int} ms', function (this: SystemWorld, ms: number) {
	const {longestVacancyMs} = getCluster(this);
	assert.ok(longestVacancyMs <= ms, String(longestVacancyMs));
});
