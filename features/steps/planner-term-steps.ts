import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {ElectionCluster} from '../support/election-cluster.js';
import {type SystemWorld} from '../support/system-world.js';

const getCrowd = (world: SystemWorld): ElectionCluster => world.notes.get('offices') as ElectionCluster;
const longScenarioMs = 60_000;
const settleMs = 3000;
/** Time after the last trouble of a mixture, milliseconds. */
const recoveryMs = 8000;

Given('{int} processes that seek a planner\'s office in a store', function (this: SystemWorld, count: number) {
	const crowd = new ElectionCluster(count, 3);
	this.onClose(() => {
		crowd.close();
	});
	crowd.store.put('others/1', 1);
	this.notes.set('offices', crowd);
});

When('one of them is in office since {string}', async function (this: SystemWorld, moment: string) {
	const crowd = getCrowd(this);
	if (moment === 'after the copy') {
		crowd.store.takeCopy();
	}

	await crowd.pass(settleMs);
	if (moment === 'after a term in the copy') {
		crowd.store.takeCopy();
		const [first] = crowd.listPlanners();
		first.isSuspended = true;
		await crowd.pass(settleMs + settleMs);
		first.isSuspended = false;
		await crowd.pass(settleMs);
	}

	if (moment === 'before the copy') {
		crowd.store.takeCopy();
		crowd.store.put('others/2', 2);
		await crowd.pass(settleMs);
	}

	crowd.longestVacancyMs = 0;
});

When('the store comes back from that copy after {int} ms', async function (this: SystemWorld, awayMs: number) {
	await getCrowd(this).restoreStore(awayMs);
});

When('it is lost, and the store comes back from that copy after {int} ms', async function (this: SystemWorld, awayMs: number) {
	const crowd = getCrowd(this);
	const [lost] = crowd.listPlanners();
	lost.isSuspended = true;
	lost.view.close();
	crowd.candidates.splice(crowd.candidates.indexOf(lost), 1);
	await crowd.restoreStore(awayMs);
});

When('they go on for {int} ms', {timeout: longScenarioMs}, async function (this: SystemWorld, ms: number) {
	await getCrowd(this).pass(ms);
});

When('drills and planners that stand still are mixed by seed {int} for {int} ms', {timeout: longScenarioMs}, async function (this: SystemWorld, seed: number, ms: number) {
	getCrowd(this).close();
	const crowd = new ElectionCluster(getCrowd(this).candidates.length, seed);
	this.notes.set('offices', crowd);
	this.onClose(() => {
		crowd.close();
	});
	crowd.store.put('others/1', 1);
	crowd.store.takeCopy();
	while (crowd.now < ms) {
		await crowd.pass(200 + crowd.draw(2000));
		const candidate = crowd.candidates[crowd.draw(crowd.candidates.length)];
		const trouble = crowd.draw(5);
		switch (trouble) {
			case 0: {
				await crowd.restoreStore(crowd.draw(2) * crowd.draw(2500));

				break;
			}

			case 1: {
				crowd.store.takeCopy();

				break;
			}

			case 2: {
				candidate.isSuspended = !candidate.isSuspended;

				break;
			}

			default: {
				crowd.store.put(`others/${crowd.draw(9)}`, crowd.now);
			}
		}
	}

	for (const candidate of crowd.candidates) {
		candidate.isSuspended = false;
	}

	await crowd.pass(recoveryMs);
});

Then('one of them is in office', function (this: SystemWorld) {
	const crowd = getCrowd(this);
	assert.deepEqual(crowd.listPlanners().map(({id}) => `rank-${id}`), [crowd.store.read('office')]);
});

Then('no term was as high as one before', function (this: SystemWorld) {
	const {terms} = getCrowd(this);
	assert.ok(terms.length > 0);
	assert.deepEqual(terms, [...new Set(terms)].toSorted((one, other) => one - other));
});

Then('the office was vacant for at most {int} ms', function (this: SystemWorld, ms: number) {
	const {longestVacancyMs} = getCrowd(this);
	assert.ok(longestVacancyMs <= ms, String(longestVacancyMs));
});
