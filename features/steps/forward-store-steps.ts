import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {type HttpTarget} from '../../stand-ins/forward/http-target.js';
import {ForwardSystem} from '../support/forward-system.js';
import {type SystemWorld} from '../support/system-world.js';

const getSystem = (world: SystemWorld): ForwardSystem => world.notes.get('forward') as ForwardSystem;
const getTarget = (world: SystemWorld, number: number): HttpTarget => getSystem(world).targets.get(`target-${number}`)!;

Given('{int} unreachable entries are registered as well', async function (this: SystemWorld, count: number) {
	const {store, entries} = getSystem(this);
	for (let number = 1; number <= count; number++) {
		// No process listens at these ports.
		store.put(`wardswitch/entries/away-${number}`, `127.0.0.1:${number}`);
	}

	await getSystem(this).until(() => entries.get('entry-1')!.getRevision() >= store.lastRevision);
});

When('target {int} announces that it is leaving', async function (this: SystemWorld, number: number) {
	const system = getSystem(this);
	const {target} = getTarget(this, number);
	system.store.put(`targets/${target.id}`, {...target, isLeaving: true});
	// Entries may take two seconds to learn of it; only requests after that must not reach the target.
	const revision = system.store.lastRevision;
	await system.until(() => system.entries.get('entry-1')!.getRevision() >= revision);
});

When('the route {string} is removed', function (this: SystemWorld, prefix: string) {
	getSystem(this).configure(configuration => {
		configuration.routes = configuration.routes.filter(route => route.prefix !== prefix);
	});
});

When('the route {string} is removed and the store compacts its history', function (this: SystemWorld, prefix: string) {
	const system = getSystem(this);
	system.store.setFault('entry-1', 'down');
	system.configure(configuration => {
		configuration.routes = configuration.routes.filter(route => route.prefix !== prefix);
	});
	system.store.compact();
	system.store.setFault('entry-1', 'none');
});

When('the store holds the first configuration again', function (this: SystemWorld) {
	const system = getSystem(this);
	system.store.put('configuration', {...new ForwardSystem().configuration, version: 1});
});

When('the store holds an invalid configuration', async function (this: SystemWorld) {
	const system = getSystem(this);
	system.store.put('configuration', '{"version": 9, "routes": "none"}');
	await new Promise(resolve => {
		setImmediate(resolve);
	});
});

When('the store stops answering {string}', function (this: SystemWorld, entry: string) {
	getSystem(this).store.setFault(entry, 'down');
});

When('{string} starts', async function (this: SystemWorld, entry: string) {
	await getSystem(this).addEntry(entry, false);
});

Then('target {int} has run nothing', function (this: SystemWorld, number: number) {
	assert.deepEqual(getTarget(this, number).runs, []);
});

Then('a caller soon gets status {int} for {string}', async function (this: SystemWorld, status: number, path: string) {
	const system = getSystem(this);
	await system.until(async () => {
		const answer = await system.call({path, method: 'POST', body: 'a block'});
		return answer.status === status;
	});
});

Then('a caller still gets status {int} for {string}', async function (this: SystemWorld, status: number, path: string) {
	const answer = await getSystem(this).call({path, method: 'POST', body: 'a block'});
	assert.equal(answer.status, status);
});

Then('{string} is soon ready', async function (this: SystemWorld, entry: string) {
	const system = getSystem(this);
	await system.until(() => system.entries.get(entry)!.isReady());
});

Given('{int} targets that are gone are still registered at its address', async function (this: SystemWorld, count: number) {
	const system = getSystem(this);
	const {target} = getTarget(this, 1);
	for (let number = 1; number <= count; number++) {
		system.store.put(`targets/gone-${number}`, {...target, id: `gone-${number}`});
	}

	await system.until(() => system.entries.get('entry-1')!.getRevision() >= system.store.lastRevision);
});

When('a registration of the service {string} appears at the target\'s address', async function (this: SystemWorld, service: string) {
	const system = getSystem(this);
	const {target} = getTarget(this, 1);
	system.store.put('targets/foreign', {...target, id: 'foreign', service});
	await system.until(() => system.entries.get('entry-1')!.getRevision() >= system.store.lastRevision);
});
