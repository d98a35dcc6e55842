import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {err, ok} from 'neverthrow';
import {TargetDirectory} from '../../src/fleet/target-directory.js';
import {makeItemComparator} from '../../src/forward/make-item-comparator.js';
import {PlatformError} from '../../src/key-value/platform-error.js';
import {type StoredValue} from '../../src/key-value/stored-value.js';
import {StoreView} from '../../src/view/store-view.js';
import {plainSource} from '../../stand-ins/forward/plain-source.js';
import {type SystemWorld} from '../support/system-world.js';

const target = {
	id: 'target', bornAt: 1, service: 'desk', address: '10.0.0.1', port: 1, availabilityZone: 'a', slots: 1, isLeaving: true,
};
const targetKey = 'targets/target';
const makeConfiguration = (version: number) => ({
	version, routes: [], services: [], limits: {
		maximumHeaderBytes: 1, maximumBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
	},
});
const makeItems = (version: number, more: object, revision: number): StoredValue[] => [
	{key: 'configuration', value: JSON.stringify(makeConfiguration(version)), revision},
	{key: targetKey, value: JSON.stringify({...target, ...more}), revision: revision + 1},
];
const noAnswer = err(new PlatformError('the store does not answer', 'unknown'));
/** Time at which the registration disappears, milliseconds. */
const goneAt = 1000;

const openView = (items?: StoredValue[]): StoreView => {
	const view: StoreView = new StoreView({
		feed: {
			reconnect: () => undefined,
			list: async () => items ? ok({era: 1, asOf: 2, items}) : noAnswer,
			poll: async () => noAnswer,
		},
		prefix: '',
		comparator: makeItemComparator(plainSource),
		waitMs: 1,
		maximumBackoffMs: 1,
		clock: () => 0,
		random: () => 0,
		// The view closes after its first read.
		async delay() {
			view.close();
		},
		log: String,
		onChange: String,
	});
	return view;
};

const describeView = (view: StoreView): string => {
	const [found] = plainSource.readTargets(view, String);
	const state = found ? (found.isLeaving ? 'a target that is leaving' : 'a target that is ready') : 'no target';
	return `configuration ${plainSource.readConfiguration(view)?.version} and ${state}`;
};

const getView = (world: SystemWorld): StoreView => world.notes.get('guarded view') as StoreView;
Given('a view with configuration {int} and a target that is leaving', async function (this: SystemWorld, version: number) {
	const view = openView(makeItems(version, {}, 1));
	await view.run();
	this.notes.set('guarded view', view);
});

When('a newer view has configuration {int} and the target as ready', function (this: SystemWorld, version: number) {
	const items = makeItems(version, {isLeaving: false}, 3).map(item => ({...item, era: 1}));
	getView(this).mergeSnapshot({asOf: {era: 1, number: 4}, ageMs: 0, items});
});

When('a newer view has configuration {int} and a later incarnation of the target', function (this: SystemWorld, version: number) {
	const items = makeItems(version, {bornAt: 2, isLeaving: false}, 5).map(item => ({...item, era: 1}));
	getView(this).mergeSnapshot({asOf: {era: 1, number: 6}, ageMs: 0, items});
});

When('it merges a peer\'s view of a new era, in which the target was removed', function (this: SystemWorld) {
	const [configuration, ended] = makeItems(7, {}, 1).map(item => ({...item, era: 1}));
	getView(this).mergeSnapshot({
		asOf: {era: 2, number: 1}, ageMs: 0, items: [{...configuration, era: 2}], removed: [{item: ended, agoMs: 100}],
	});
});

Then('the view has {}', function (this: SystemWorld, expected: string) {
	assert.equal(describeView(getView(this)), expected);
});

Then('a peer that merges this view has the same', function (this: SystemWorld) {
	const peer = openView();
	peer.mergeSnapshot(getView(this).getSnapshot(0));
	assert.equal(describeView(peer), describeView(getView(this)));
});

Given('a directory with a target that is leaving', function (this: SystemWorld) {
	const directory = new TargetDirectory();
	directory.replace([target], 0);
	directory.noteDeparture(target, 0);
	this.notes.set('leaving directory', directory);
});

When('its registration disappears', function (this: SystemWorld) {
	(this.notes.get('leaving directory') as TargetDirectory).replace([], goneAt);
});

Then('peers are informed of the departure for {int} ms more', function (this: SystemWorld, ms: number) {
	const directory = this.notes.get('leaving directory') as TargetDirectory;
	assert.deepEqual(directory.listDepartures(goneAt + ms), [{id: target.id, bornAt: target.bornAt}]);
	assert.deepEqual(directory.listDepartures(goneAt + ms + 1), []);
});
