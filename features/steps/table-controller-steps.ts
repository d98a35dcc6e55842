import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {ok} from 'neverthrow';
import {type KeyValue} from '../../src/key-value/key-value.js';
import {encodePages} from '../../src/table/encode-pages.js';
import {TableController} from '../../src/table/table-controller.js';
import {tableKeys} from '../../src/table/table-keys.js';
import {makeTableSnapshot} from '../support/make-table-snapshot.js';
import {oddValues} from '../support/odd-values.js';
import {type SystemWorld} from '../support/system-world.js';

const unusedKeyValue = undefined as unknown as KeyValue;

/* Creates a key-value service in memory: the scenario delivers heads through the watch, and every page exists. */
const createWatchedPlatform = (world: SystemWorld): KeyValue => {
	const pages = encodePages([]);
	const platform = {
		get: async (key: string) => ok(key === tableKeys.head ? undefined : {key, value: pages[0].text, revision: 1}),
		async watch(_prefix: string, _revision: number, onChange: (change: {key: string; value: string; revision: number}) => void) {
			world.notes.set('onChange', onChange);
			// The watch never ends.
			return new Promise<never>(() => {}); // eslint-disable-line @typescript-eslint/no-empty-function
		},
	};
	return platform as unknown as KeyValue;
};

Given('a table controller that watches the platform', async function (this: SystemWorld) {
	const installed: number[] = [];
	const reports: string[] = [];
	const controller = new TableController({
		keyValue: createWatchedPlatform(this), random: () => 0, log: message => reports.push(message), onInstall: ({version}) => installed.push(version),
	});
	controller.setWatcher(true, 0);
	controller.tick(0);
	while (!this.notes.has('onChange')) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	this.notes.set('installed', installed);
	this.notes.set('reports', reports);
});

When('the watch delivers versions {string}', async function (this: SystemWorld, versions: string) {
	const onChange = this.notes.get('onChange') as (change: {key: string; value: string; revision: number}) => void;
	for (const version of versions.split(', ').map(Number)) {
		onChange({key: tableKeys.head, value: JSON.stringify(makeTableSnapshot([], version, `change-${version}`).head), revision: version});
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
});

When('the watch delivers a head that is {string}', async function (this: SystemWorld, name: string) {
	const onChange = this.notes.get('onChange') as (change: {key: string; value: string; revision: number}) => void;
	onChange({key: tableKeys.head, value: oddValues[name], revision: 6});
	await new Promise(resolve => {
		setImmediate(resolve);
	});
});

Then('versions came into force in the order {string}', function (this: SystemWorld, versions: string) {
	assert.equal((this.notes.get('installed') as number[]).join(', '), versions);
});

Given('a table controller at version {int}', function (this: SystemWorld, version: number) {
	const reports: string[] = [];
	const controller = new TableController({
		keyValue: unusedKeyValue, random: () => 0, log: message => reports.push(message), onInstall: () => undefined,
	});
	const {head, pages} = makeTableSnapshot([], version, 'ours');
	controller.applyOffer({type: 'table-offered', head: JSON.stringify(head), pages: [...pages.values()]});
	assert.equal(controller.version, version);
	this.notes.set('controller', controller);
	this.notes.set('reports', reports);
});

When('a peer offers version {int}', function (this: SystemWorld, version: number) {
	const {head, pages} = makeTableSnapshot([], version, 'older');
	(this.notes.get('controller') as TableController).applyOffer({type: 'table-offered', head: JSON.stringify(head), pages: [...pages.values()]});
});

When('a peer offers a head that is {string}', function (this: SystemWorld, name: string) {
	(this.notes.get('controller') as TableController).applyOffer({type: 'table-offered', head: oddValues[name], pages: []});
});

When('a peer offers version {int} with a page that is {string}', function (this: SystemWorld, version: number, name: string) {
	const {head, pages} = makeTableSnapshot([], version, 'odd');
	(this.notes.get('controller') as TableController).applyOffer({
		type: 'table-offered', head: JSON.stringify(head), pages: [...pages.values()].map(({hash}) => ({hash, text: oddValues[name]})),
	});
});

When('a peer reports version {int} of another change', function (this: SystemWorld, version: number) {
	(this.notes.get('controller') as TableController).noteVersion(version, 'theirs', 0);
});

When('one peer reports version 4 and another reports version 5 right after it', function (this: SystemWorld) {
	const controller = this.notes.get('controller') as TableController;
	this.notes.set('requests', [4, 5, 5, 4].map(version => controller.noteVersion(version, '', 1000)?.type));
});

Then('the controller requests each of the two versions once', function (this: SystemWorld) {
	assert.deepEqual(this.notes.get('requests'), ['table-wanted', 'table-wanted', undefined, undefined]);
});

Then('the controller stays at version {int}', function (this: SystemWorld, version: number) {
	const controller = this.notes.get('controller') as TableController;
	assert.deepEqual([controller.version, controller.changeId], [version, 'ours']);
});

Then('the controller reports {string}', function (this: SystemWorld, text: string) {
	assert.ok((this.notes.get('reports') as string[]).some(report => report.includes(text)));
});
