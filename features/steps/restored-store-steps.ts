import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {Registry} from 'prom-client';
import {registerViewGauges} from '../../src/metrics/register-view-gauges.js';
import {StoreSimulation} from '../support/store-simulation.js';
import {injectRandomFaults} from '../support/inject-random-faults.js';
import {type SystemWorld} from '../support/system-world.js';

const getSimulation = (world: SystemWorld): StoreSimulation => world.notes.get('simulation') as StoreSimulation;
const longScenarioMs = 120_000;
/** Time for new entries to connect to each other and read the store, milliseconds. */
const settleMs = 1000;
/** Maximum duration of a wait for changes, including its call, milliseconds. */
const longestWaitMs = 2100;
/** Time between the starts of two entries, milliseconds. */
const startMs = 50;

const startEntries = async (simulation: StoreSimulation, first: number, last: number): Promise<void> => {
	for (let number = first; number <= last; number++) {
		simulation.start(String(number));
		await simulation.advance(startMs);
	}

	await simulation.advance(settleMs);
};

const restoreWithoutLast = async (world: SystemWorld, count: number, outageMs: number, isSilent = false): Promise<void> => {
	const simulation = getSimulation(world);
	simulation.store.takeCopy();
	for (let number = 0; number < count; number++) {
		simulation.store.put(`others/${number}`, number);
	}

	await simulation.advance(settleMs);
	if (world.notes.has('silent waits')) {
		simulation.store.hangWaits('1');
	}

	await simulation.restoreFromBackup({outageMs, rewriteDelayMs: 0, isSilent});
	world.notes.set('calls', new Map(simulation.store.calls));
};

Given('{int} entries and {int} targets that follow a store', {timeout: longScenarioMs}, async function (this: SystemWorld, entries: number, targets: number) {
	const simulation = new StoreSimulation(1);
	this.onClose(() => {
		simulation.close();
	});
	this.notes.set('simulation', simulation);
	simulation.configure();
	for (let number = 1; number <= targets; number++) {
		simulation.register(`target-${number}`);
	}

	await startEntries(simulation, 1, entries);
	simulation.store.takeCopy();
});

When('the store is restored without its last {int} changes after an outage of {int} ms', async function (this: SystemWorld, lost: number, outageMs: number) {
	await restoreWithoutLast(this, lost, outageMs);
});

When('the store loses its last {int} changes after 0 ms, waits stay open, and at once a target leaves and {int} keys are written', async function (this: SystemWorld, lost: number, others: number) {
	await restoreWithoutLast(this, lost, 0, true);
	const simulation = getSimulation(this);
	simulation.leave('target-1');
	for (let number = 0; number < others; number++) {
		simulation.store.put(`others/${number}`, 'again');
	}
});

When('the operator changes the configuration, a target registers and another leaves', function (this: SystemWorld) {
	const simulation = getSimulation(this);
	simulation.store.takeCopy();
	const turn = (this.notes.get('turn') as number | undefined ?? 0) + 1;
	this.notes.set('turn', turn);
	simulation.configure();
	simulation.register(`new-${turn}`);
	simulation.leave(`target-${turn}`);
});

When('the entries run for {int} ms', {timeout: longScenarioMs}, async function (this: SystemWorld, ms: number) {
	await getSimulation(this).advance(ms);
});

When('the waits of all entries but one get no answer any more', function (this: SystemWorld) {
	this.notes.set('silent waits', true);
});

When('the store does not report its era', function (this: SystemWorld) {
	getSimulation(this).store.reportsEra = false;
});

When('the operator changes the configuration twice, and the store is restored without the second change', async function (this: SystemWorld) {
	const simulation = getSimulation(this);
	simulation.configure();
	await simulation.advance(settleMs);
	simulation.store.takeCopy();
	simulation.configure();
	this.notes.set('lost version', simulation.version);
	await simulation.advance(settleMs);
	simulation.setFault('down');
	await simulation.advance(300);
	simulation.store.restoreCopy();
	simulation.setFault('none');
	await simulation.advance(settleMs);
});

When('the operator changes the configuration, and then writes the lost version again', async function (this: SystemWorld) {
	const simulation = getSimulation(this);
	simulation.configure();
	await simulation.advance(settleMs);
	simulation.writeConfiguration(this.notes.get('lost version') as number);
});

const restoreAndRewrite = 'the store is restored to the state before that after {int} ms, and the lost keys are written again {int} ms later';

When(restoreAndRewrite, {timeout: longScenarioMs}, async function (this: SystemWorld, outageMs: number, rewriteMs: number) {
	const simulation = getSimulation(this);
	simulation.startTrackingUse();
	this.notes.set('calls', new Map(simulation.store.calls));
	await simulation.restoreFromBackup({outageMs, rewriteDelayMs: rewriteMs});
});

When('a target registers that will not register again', async function (this: SystemWorld) {
	const simulation = getSimulation(this);
	simulation.register('lost');
	await simulation.advance(settleMs);
	simulation.excludeFromRewrite('lost');
});

Then('no entry uses that target', function (this: SystemWorld) {
	assert.equal(getSimulation(this).countUsing('lost'), 0);
	assert.deepEqual(getSimulation(this).violations, []);
});

When('the store is restored to the state before that, and an entry starts before the lost keys are written again', async function (this: SystemWorld) {
	const simulation = getSimulation(this);
	simulation.at(600, () => {
		simulation.start('late');
	});
	await simulation.restoreFromBackup({outageMs: 300, rewriteDelayMs: 1500});
});

When('the store is restored to the state before that, and only a new entry reaches it', async function (this: SystemWorld) {
	const simulation = getSimulation(this);
	for (const id of simulation.entries.keys()) {
		simulation.withoutStore.add(id);
	}

	simulation.at(100, () => {
		simulation.start('late');
	});
	await simulation.restoreFromBackup({outageMs: 0, rewriteDelayMs: 1500});
	simulation.withoutStore.clear();
	simulation.setFault('none');
	await simulation.advance(settleMs);
});

Then('the new entry has served no request with an older configuration', function (this: SystemWorld) {
	const simulation = getSimulation(this);
	assert.deepEqual([...simulation.entries.get('late')!.servedVersions], [simulation.version]);
});

Then('it sends nothing to the target that has left', function (this: SystemWorld) {
	const simulation = getSimulation(this);
	assert.equal(simulation.countUsing('target-1'), 0);
	assert.deepEqual([...simulation.entries.get('late')!.usedAfterLeave], []);
});

When('one entry cannot reach the store', async function (this: SystemWorld) {
	const simulation = getSimulation(this);
	simulation.withoutStore.add('3');
	simulation.setFault('none');
	await simulation.advance(settleMs);
});

When('a target leaves and its registration is removed', async function (this: SystemWorld) {
	const simulation = getSimulation(this);
	simulation.store.takeCopy();
	simulation.leave('target-1');
	await simulation.advance(settleMs);
	simulation.remove('target-1');
	await simulation.advance(settleMs);
});

When('the registration of a target is removed', async function (this: SystemWorld) {
	const simulation = getSimulation(this);
	simulation.store.takeCopy();
	simulation.remove('target-1');
	await simulation.advance(settleMs);
});

When('a target whose registration is an/the {word} write of the backup is removed', async function (this: SystemWorld, write: string) {
	const simulation = getSimulation(this);
	const id = write === 'last' ? 'last' : 'target-1';
	if (write === 'last') {
		simulation.register(id);
		await simulation.advance(settleMs);
	}

	simulation.store.takeCopy();
	simulation.remove(id);
	this.notes.set('removed', id);
	await simulation.advance(settleMs);
});

When('{word} entry/entries start again, and their links are {word}', async function (this: SystemWorld, which: string, links: string) {
	const simulation = getSimulation(this);
	const restarted = which === 'one' ? ['6'] : [...simulation.entries.keys()];
	for (const id of restarted) {
		simulation.kill(id);
	}

	for (const id of restarted) {
		simulation.start(`${id}+`);
		if (links === 'cut') {
			simulation.partitioned.add(simulation.entries.get(`${id}+`)!.address);
		}
	}

	this.notes.set('restarted', restarted.map(id => `${id}+`));
	await simulation.advance(settleMs);
});

When('the operator has changed the configuration twice', async function (this: SystemWorld) {
	for (let left = 2; left > 0; left--) {
		getSimulation(this).configure();
		await getSimulation(this).advance(settleMs);
	}
});

Then('none of them has used the removed target', function (this: SystemWorld) {
	const simulation = getSimulation(this);
	const users = (this.notes.get('restarted') as string[]).filter(id => simulation.entries.get(id)!.usedAfterLeave.has(this.notes.get('removed') as string));
	assert.deepEqual(users, []);
});

When('the store is restored to the state before that after 0 ms, and a target registers at once', async function (this: SystemWorld) {
	const simulation = getSimulation(this);
	simulation.partitioned.clear();
	simulation.store.restoreCopy();
	simulation.register('new');
	simulation.at(settleMs, () => {
		simulation.rewriteLostKeys();
	});
});

Then('all entries use it within {int} ms', async function (this: SystemWorld, ms: number) {
	const simulation = getSimulation(this);
	await simulation.advance(ms);
	assert.equal(simulation.countUsing('new'), simulation.entries.size);
});

When('{int} more entries start', async function (this: SystemWorld, count: number) {
	const simulation = getSimulation(this);
	simulation.store.takeCopy();
	await startEntries(simulation, simulation.entries.size + 1, simulation.entries.size + count);
});

When('restores, changes, restarts, partitions, slow and lost answers are mixed by seed {int} for {int} ms', {timeout: longScenarioMs}, async function (this: SystemWorld, seed: number, ms: number) {
	await injectRandomFaults(getSimulation(this), seed, ms);
});

const silentMixture = 'restores, changes, restarts, partitions, slow and lost answers, refused calls and silent connections are mixed by seed {int} for {int} ms';

When(silentMixture, {timeout: longScenarioMs}, async function (this: SystemWorld, seed: number, ms: number) {
	await injectRandomFaults(getSimulation(this), seed, ms, {includesSilence: true});
});

Then('nothing went back to an older state and every change was in force in time', function (this: SystemWorld) {
	assert.deepEqual(getSimulation(this).violations, []);
});

Then('log and metrics of every entry show the new era and an up-to-date view', async function (this: SystemWorld) {
	const simulation = getSimulation(this);
	for (const {id, state: {view}} of simulation.entries.values()) {
		const registry = new Registry();
		registerViewGauges(registry, () => view, () => simulation.now);
		const text = await registry.metrics();
		assert.match(text, /^wardswitch_store_era 1$/mv);
		assert.match(text, new RegExp(`^wardswitch_view_revision ${simulation.store.lastRevision}$`, 'mv'));
		assert.match(text, /^wardswitch_view_retained_keys 0$/mv);
		assert.ok(view.getAge(simulation.now) <= longestWaitMs, `${view.getAge(simulation.now)} ms`);
		assert.ok(simulation.logLines.some(line => line.includes(` ${id}: store was restored from a backup: era 1 revision`)));
	}
});

Then('no entry has stopped using a registered target', function (this: SystemWorld) {
	assert.deepEqual([...getSimulation(this).unused], []);
});

Then('no entry has made more than {int} calls since', function (this: SystemWorld, most: number) {
	const before = this.notes.get('calls') as ReadonlyMap<string, number>;
	const made = [...getSimulation(this).store.calls].map(([id, count]) => count - (before.get(id) ?? 0));
	assert.ok(Math.max(...made) <= most, made.join(', '));
});

Then('no entry has made more than {int} calls in a second', function (this: SystemWorld, most: number) {
	const {busiestSecond} = getSimulation(this);
	assert.ok(busiestSecond <= most, String(busiestSecond));
});

Then('every entry is registered', function (this: SystemWorld) {
	assert.equal(getSimulation(this).countUnregistered(), 0);
});

Then('no more than {int} writes have reached the store within {int} ms', function (this: SystemWorld, most: number, ms: number) {
	const {writeTimes: writtenAt} = getSimulation(this).store;
	const counts = writtenAt.map(at => writtenAt.filter(other => other >= at && other < at + ms).length);
	assert.ok(Math.max(...counts) <= most, counts.join(', '));
});
