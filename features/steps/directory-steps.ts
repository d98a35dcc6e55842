import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {GroupIndex} from '../../src/fleet/group-index.js';
import {groupKeys} from '../../src/fleet/group-keys.js';
import {TargetDirectory} from '../../src/fleet/target-directory.js';
import {rewriteWindowMs} from '../../src/view/rewrite-window-ms.js';
import {type SystemWorld} from '../support/system-world.js';

const makeTarget = (number: number) => ({
	id: `target-${number}`, service: 'desk', address: '127.0.0.1', port: number, availabilityZone: 'a', slots: 1, isLeaving: false,
});

const listDirectory = (directory: TargetDirectory): string[] => directory.list('desk').map(({id}) => id);

Given('a directory with targets 1 and 2', function (this: SystemWorld) {
	const directory = new TargetDirectory();
	directory.replace([makeTarget(1), makeTarget(2)], 0);
	this.notes.set('directory', directory);
});

When('the store is back without their registrations', function (this: SystemWorld) {
	(this.notes.get('directory') as TargetDirectory).replace([], 10_000, 10_000 + rewriteWindowMs);
});

Then('both targets are used for {int} ms more', function (this: SystemWorld, ms: number) {
	const directory = this.notes.get('directory') as TargetDirectory;
	directory.expire(10_000 + ms);
	assert.deepEqual(listDirectory(directory), ['target-1', 'target-2']);
});

When('target 2 has registered again after {int} ms', function (this: SystemWorld, ms: number) {
	(this.notes.get('directory') as TargetDirectory).replace([makeTarget(2)], 10_000 + ms, 10_000 + rewriteWindowMs);
});

Then('after {int} ms only target 2 is used', function (this: SystemWorld, ms: number) {
	const directory = this.notes.get('directory') as TargetDirectory;
	directory.expire(10_000 + ms);
	assert.deepEqual(listDirectory(directory), ['target-2']);
});

When('the directory is looked at each {int} ms', function (this: SystemWorld, intervalMs: number) {
	this.notes.set('lookMs', intervalMs);
});

Then('no target is used {int} ms after', function (this: SystemWorld, ms: number) {
	const directory = this.notes.get('directory') as TargetDirectory;
	const intervalMs = this.notes.get('lookMs') as number;
	// The checks fall just after the deadlines.
	for (let passedMs = -1; passedMs <= ms; passedMs += intervalMs) {
		directory.expire(10_000 + passedMs);
	}

	assert.deepEqual(listDirectory(directory), []);
});

When('target 3 registers at the address of target 2', function (this: SystemWorld) {
	const directory = this.notes.get('directory') as TargetDirectory;
	directory.replace([makeTarget(1), makeTarget(2), {...makeTarget(3), port: makeTarget(2).port}], 10_000);
});

When('target 3 is found to be gone', function (this: SystemWorld) {
	(this.notes.get('directory') as TargetDirectory).markGone(makeTarget(3));
});

Then('only targets {int} and {int} are used', function (this: SystemWorld, one: number, other: number) {
	assert.deepEqual(listDirectory(this.notes.get('directory') as TargetDirectory), [`target-${one}`, `target-${other}`]);
});

Given('a target that was born at {int} and is known to be gone', function (this: SystemWorld, bornAt: number) {
	const directory = new TargetDirectory();
	const target = {...makeTarget(1), bornAt};
	directory.replace([target], 0);
	directory.markGone(target);
	this.notes.set('directory', directory);
	this.notes.set('former incarnation', target);
});

When('its registration says that it was born at {int}, port {int}', function (this: SystemWorld, bornAt: number, port: number) {
	const directory = this.notes.get('directory') as TargetDirectory;
	const {renewed} = directory.replace([{...makeTarget(1), bornAt, port}], 1000);
	this.notes.set('renewed', renewed.map(({id}) => id));
});

When('a late answer reports again that its former incarnation is gone', function (this: SystemWorld) {
	(this.notes.get('directory') as TargetDirectory).markGone(this.notes.get('former incarnation') as ReturnType<typeof makeTarget>);
});

Then('it is used at port {int}, and what was kept for its former incarnation is dropped', function (this: SystemWorld, port: number) {
	const directory = this.notes.get('directory') as TargetDirectory;
	assert.deepEqual(directory.list('desk').map(target => target.port), [port]);
	assert.deepEqual(this.notes.get('renewed'), ['target-1']);
});

Then('it is not used', function (this: SystemWorld) {
	assert.deepEqual(listDirectory(this.notes.get('directory') as TargetDirectory), []);
	assert.deepEqual(this.notes.get('renewed'), []);
});

Given('an index of groups', function (this: SystemWorld) {
	this.notes.set('index', new GroupIndex());
});

When('the planner of {string} lists {string} and {string} in epoch {int}, beside one that cannot be read', function (this: SystemWorld, group: string, one: string, other: string, epoch: number) {
	const formed = (this.notes.get('index') as GroupIndex).replace([
		{key: groupKeys.make('desk', group), value: JSON.stringify({epoch, engines: [one, other]}), revision: epoch},
		{key: groupKeys.make('desk', 'invalid'), value: '{', revision: epoch},
		{key: groupKeys.make('desk', 'partial'), value: JSON.stringify({engines: [other]}), revision: epoch},
	], String);
	this.notes.set('formed', formed);
});

Then('{string} is in {string} and {string} in none', function (this: SystemWorld, member: string, group: string, stranger: string) {
	const index = this.notes.get('index') as GroupIndex;
	assert.equal(index.getGroup('desk', member), group);
	assert.equal(index.getGroup('desk', stranger), undefined);
});

Then('{string} is known to have been formed anew', function (this: SystemWorld, group: string) {
	assert.deepEqual(this.notes.get('formed'), [`desk/${group}`]);
});
