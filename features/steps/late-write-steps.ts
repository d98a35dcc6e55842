import assert from 'node:assert/strict';
import {setImmediate as yieldTurn} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {err} from 'neverthrow';
import {GroupPublication} from '../../src/expert-balance/group-publication.js';
import {groupKeys} from '../../src/fleet/group-keys.js';
import {GroupListing} from '../../src/fleet/group-listing.js';
import {CrashRecords} from '../../src/forward/crash-records.js';
import {PlatformError} from '../../src/key-value/platform-error.js';
import {type Registry} from '../../src/key-value/registry.js';
import {Registration} from '../../src/mesh/registration.js';
import {MemoryStore} from '../../stand-ins/forward/memory-store.js';
import {type SystemWorld} from '../support/system-world.js';

type Scene = {now: number; readonly store: MemoryStore; readonly registry: Registry; readonly carryOut: () => Promise<unknown>; registration?: Registration};

const key = 'entries/a';
const fingerprint = 'f1';
const recordKey = `crashes/${fingerprint}`;
const secondMs = 1000;

const getScene = (world: SystemWorld): Scene => world.notes.get('scene') as Scene;

/* Lets pending calls of the store be answered. */
const settle = async (): Promise<void> => {
	for (let turn = 0; turn < 5; turn++) {
		await yieldTurn();
	}
};

const pass = async (scene: Scene, seconds: number, tick: (now: number) => unknown): Promise<void> => {
	for (let second = 0; second < seconds; second++) {
		scene.now += secondMs;
		scene.store.expireLeases();
		void tick(scene.now);
		await settle();
	}
};

Given('a process whose next write to the store waits without an answer', function (this: SystemWorld) {
	const store: MemoryStore = new MemoryStore(() => scene.now);
	const client = store.createClient('process');
	let waiting: (() => Promise<unknown>) | undefined;
	const scene: Scene = {
		now: 0,
		store,
		registry: {
			...client,
			async commit(transaction) {
				if (waiting) {
					return client.commit(transaction);
				}

				waiting = async () => client.commit(transaction);
				return err(new PlatformError('no answer', 'unknown'));
			},
		},
		async carryOut() {
			return waiting!();
		},
	};
	this.notes.set('scene', scene);
});

When('it registers, and again as that had no answer', async function (this: SystemWorld) {
	const scene = getScene(this);
	scene.registration = new Registration({
		registry: scene.registry, key, value: '10.0.0.1:7340', random: () => 0, log: String,
	});
	await pass(scene, 3, async now => scene.registration!.tick(now));
	assert.ok(scene.store.read(key));
});

When('the write is carried out', async function (this: SystemWorld) {
	await getScene(this).carryOut();
});

When('it goes on for {int} seconds', async function (this: SystemWorld, seconds: number) {
	const scene = getScene(this);
	await pass(scene, seconds, async now => scene.registration!.tick(now));
});

Then('it is registered', function (this: SystemWorld) {
	assert.ok(getScene(this).store.read(key));
});

When('it lists a group of epoch {int}, and then of epoch {int}', async function (this: SystemWorld, former: number, present: number) {
	const scene = getScene(this);
	const publication = new GroupPublication({
		service: 'desk', group: 'one', registry: scene.registry, random: () => 0, log: String,
	});
	await pass(scene, 1, now => {
		publication.tick({epoch: former, engines: ['10.0.0.1:80']}, 0, now);
	});
	await pass(scene, 3, now => {
		publication.tick({epoch: present, engines: ['10.0.0.1:80']}, 0, now);
	});
});

Then('the store lists the group of epoch {int}', function (this: SystemWorld, epoch: number) {
	const listing = GroupListing.parse(JSON.parse(getScene(this).store.read(groupKeys.make('desk', 'one')) ?? 'null'));
	assert.equal(listing.epoch, epoch);
});

Given('the store holds a record of a request that crashes targets', function (this: SystemWorld) {
	getScene(this).store.put(recordKey, {incarnations: ['a', 'b'], met: []});
});

When('it updates the record, and removes it as a target answers the request', async function (this: SystemWorld) {
	const scene = getScene(this);
	const unsaved = [fingerprint];
	let record: unknown = {incarnations: ['a', 'b', 'c'], met: []};
	const records = new CrashRecords({
		prefix: 'crashes/',
		suspects: {
			takeUnsaved: () => unsaved.shift(),
			noteUnsaved(subject) {
				unsaved.push(subject);
			},
			getRecord: () => record,
			mergeRecord: () => undefined,
			listRecorded: () => [],
		},
		isElected: () => true,
		registry: scene.registry,
		log: String,
	});
	await pass(scene, 1, async now => records.tick(now));
	record = undefined;
	await pass(scene, 3, async now => records.tick(now));
	assert.equal(unsaved.length, 0);
});

Then('the store holds no record of the request', function (this: SystemWorld) {
	assert.equal(getScene(this).store.read(recordKey), undefined);
});
