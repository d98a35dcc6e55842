import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {Registry} from 'prom-client';
import {registerViewGauges} from '../../src/metrics/register-view-gauges.js';
import {StoreCrowd} from '../support/store-crowd.js';
import {stirStore} from '../support/stir-store.js';
import {type SystemWorld} from '../support/system-world.js';

const getCrowd = (world: SystemWorld): StoreCrowd => world.notes.get('crowd') as StoreCrowd;
const longScenarioMs = 120_000;
/** Time until entries that start know each other and the store, milliseconds. */
const settleMs = 1000;
/** Longest wait for a change, and its call, milliseconds. */
const longestWaitMs = 2100;
/** Time between two starts, milliseconds. */
const startMs = 50;

const startEntries = async (crowd: StoreCrowd, first: number, last: number): Promise<void> => {
	for (let number = first; number <= last; number++) {
		crowd.start(String(number));
		await crowd.pass(startMs);
	}

	await crowd.pass(settleMs);
};

const loseChanges = async (world: SystemWorld, count: number, awayMs: number, isSilent = false): Promise<void> => {
	const crowd = getCrowd(world);
	crowd.store.takeCopy();
	for (let number = 0; number < count; number++) {
		crowd.store.put(`others/${number}`, number);
	}

	await crowd.pass(settleMs);
	if (world.notes.has('silent waits')) {
		crowd.store.hangWaits('1');
	}

	await crowd.drill({awayMs, rewriteMs: 0, isSilent});
	world.notes.set('calls', new Map(crowd.store.calls));
};

Given('{int} entries and {int} targets that follow a store', {timeout: longScenarioMs}, async function (this: SystemWorld, entries: number, targets: number) {
	const crowd = new StoreCrowd(1);
	this.onClose(() => {
		crowd.close();
	});
	this.notes.set('crowd', crowd);
	crowd.configure();
	for (let number = 1; number <= targets; number++) {
		crowd.register(`target-${number}`);
	}

	await startEntries(crowd, 1, entries);
	crowd.store.takeCopy();
});

When('the store comes back without its last {int} changes after {int} ms', async function (this: SystemWorld, lost: number, awayMs: number) {
	await loseChanges(this, lost, awayMs);
});

When('the store comes back without its last {int} changes after 0 ms, silently, and at once a target leaves and {int} others follow', async function (this: SystemWorld, lost: number, others: number) {
	await loseChanges(this, lost, 0, true);
	const crowd = getCrowd(this);
	crowd.leave('target-1');
	for (let number = 0; number < others; number++) {
		crowd.store.put(`others/${number}`, 'again');
	}
});

When('the operator changes the configuration, a target registers and another leaves', function (this: SystemWorld) {
	const crowd = getCrowd(this);
	crowd.store.takeCopy();
	const turn = (this.notes.get('turn') as number | undefined ?? 0) + 1;
	this.notes.set('turn', turn);
	crowd.configure();
	crowd.register(`new-${turn}`);
	crowd.leave(`target-${turn}`);
});

When('the entries go on for {int} ms', {timeout: longScenarioMs}, async function (this: SystemWorld, ms: number) {
	await getCrowd(this).pass(ms);
});

When('the connections of all waits but one entry\'s go silent', function (this: SystemWorld) {
	this.notes.set('silent waits', true);
});

When('the store does not tell its era', function (this: SystemWorld) {
	getCrowd(this).store.reportsEra = false;
});

When('the operator changes the configuration twice, and the store comes back without the second', async function (this: SystemWorld) {
	const crowd = getCrowd(this);
	crowd.configure();
	await crowd.pass(settleMs);
	crowd.store.takeCopy();
	crowd.configure();
	this.notes.set('lost version', crowd.version);
	await crowd.pass(settleMs);
	crowd.setFault('down');
	await crowd.pass(300);
	crowd.store.restoreCopy();
	crowd.setFault('none');
	await crowd.pass(settleMs);
});

When('the operator changes the configuration, and then writes the one before again', async function (this: SystemWorld) {
	const crowd = getCrowd(this);
	crowd.configure();
	await crowd.pass(settleMs);
	crowd.writeConfiguration(this.notes.get('lost version') as number);
});

const comeBack = 'the store comes back from the copy of before that after {int} ms, and all is written again {int} ms later';

When(comeBack, {timeout: longScenarioMs}, async function (this: SystemWorld, awayMs: number, rewriteMs: number) {
	const crowd = getCrowd(this);
	crowd.startWatchingUse();
	this.notes.set('calls', new Map(crowd.store.calls));
	await crowd.drill({awayMs, rewriteMs});
});

When('a target registers that nobody will write again', async function (this: SystemWorld) {
	const crowd = getCrowd(this);
	crowd.register('lost');
	await crowd.pass(settleMs);
	crowd.forget('lost');
});

Then('no entry sends to that target', function (this: SystemWorld) {
	assert.equal(getCrowd(this).countUsing('lost'), 0);
	assert.deepEqual(getCrowd(this).faults, []);
});

When('the store comes back from the copy of before that, and an entry starts before all is written again', async function (this: SystemWorld) {
	const crowd = getCrowd(this);
	crowd.at(600, () => {
		crowd.start('late');
	});
	await crowd.drill({awayMs: 300, rewriteMs: 1500});
});

When('the store comes back from the copy of before that, and only an entry that starts reaches it', async function (this: SystemWorld) {
	const crowd = getCrowd(this);
	for (const id of crowd.entries.keys()) {
		crowd.withoutStore.add(id);
	}

	crowd.at(100, () => {
		crowd.start('late');
	});
	await crowd.drill({awayMs: 0, rewriteMs: 1500});
	crowd.withoutStore.clear();
	crowd.setFault('none');
	await crowd.pass(settleMs);
});

Then('the entry that has started has served nobody by an older configuration', function (this: SystemWorld) {
	const crowd = getCrowd(this);
	assert.deepEqual([...crowd.entries.get('late')!.servedVersions], [crowd.version]);
});

Then('it sends nothing to the target that has left', function (this: SystemWorld) {
	const crowd = getCrowd(this);
	assert.equal(crowd.countUsing('target-1'), 0);
	assert.deepEqual([...crowd.entries.get('late')!.usedAfterLeave], []);
});

When('one entry loses the store', async function (this: SystemWorld) {
	const crowd = getCrowd(this);
	crowd.withoutStore.add('3');
	crowd.setFault('none');
	await crowd.pass(settleMs);
});

When('a target leaves and its registration is removed', async function (this: SystemWorld) {
	const crowd = getCrowd(this);
	crowd.store.takeCopy();
	crowd.leave('target-1');
	await crowd.pass(settleMs);
	crowd.remove('target-1');
	await crowd.pass(settleMs);
});

When('the registration of a target is removed', async function (this: SystemWorld) {
	const crowd = getCrowd(this);
	crowd.store.takeCopy();
	crowd.remove('target-1');
	await crowd.pass(settleMs);
});

When('{int} more entries start', async function (this: SystemWorld, count: number) {
	const crowd = getCrowd(this);
	crowd.store.takeCopy();
	await startEntries(crowd, crowd.entries.size + 1, crowd.entries.size + count);
});

When('drills, changes, starts, cuts, slow and lost answers are mixed by seed {int} for {int} ms', {timeout: longScenarioMs}, async function (this: SystemWorld, seed: number, ms: number) {
	await stirStore(getCrowd(this), seed, ms);
});

Then('nothing was taken back or came late', function (this: SystemWorld) {
	assert.deepEqual(getCrowd(this).faults, []);
});

Then('log and metrics of every entry tell of the new era, and that its view goes on', async function (this: SystemWorld) {
	const crowd = getCrowd(this);
	for (const {id, state: {view}} of crowd.entries.values()) {
		const registry = new Registry();
		registerViewGauges(registry, () => view, () => crowd.now);
		const text = await registry.metrics();
		assert.match(text, /^wardswitch_store_era 1$/mv);
		assert.match(text, new RegExp(`^wardswitch_view_revision ${crowd.store.lastRevision}$`, 'mv'));
		assert.match(text, /^wardswitch_view_retained_keys 0$/mv);
		assert.ok(view.getAge(crowd.now) <= longestWaitMs, `${view.getAge(crowd.now)} ms`);
		assert.ok(crowd.lines.some(line => line.includes(` ${id}: store has come back from a copy: era 1 revision`)));
	}
});

Then('no entry has dropped a target that is registered', function (this: SystemWorld) {
	assert.deepEqual([...getCrowd(this).unused], []);
});

Then('no entry has made more than {int} calls since', function (this: SystemWorld, most: number) {
	const before = this.notes.get('calls') as ReadonlyMap<string, number>;
	const made = [...getCrowd(this).store.calls].map(([id, count]) => count - (before.get(id) ?? 0));
	assert.ok(Math.max(...made) <= most, made.join(', '));
});

Then('no entry has made more than {int} calls in a second', function (this: SystemWorld, most: number) {
	const {busiestSecond} = getCrowd(this);
	assert.ok(busiestSecond <= most, String(busiestSecond));
});

Then('every entry is registered', function (this: SystemWorld) {
	assert.equal(getCrowd(this).countUnregistered(), 0);
});

Then('no more than {int} writes have reached the store within {int} ms', function (this: SystemWorld, most: number, ms: number) {
	const {writeTimes: writtenAt} = getCrowd(this).store;
	const counts = writtenAt.map(at => writtenAt.filter(other => other >= at && other < at + ms).length);
	assert.ok(Math.max(...counts) <= most, counts.join(', '));
});
