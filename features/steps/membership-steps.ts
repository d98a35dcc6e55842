import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {Membership} from '../../src/membership/membership.js';
import {type Vm} from '../../src/vm-list/vm.js';
import {type SystemWorld} from '../support/system-world.js';

type Scene = {readonly membership: Membership; readonly vms: Vm[]; now: number; counter: number};

const getScene = (world: SystemWorld): Scene => world.notes.get('scene') as Scene;

const receive = (scene: Scene, id: string, incarnation = 'a', peers: Array<{id: string; incarnation: string; counter: number}> = []): void => {
	scene.membership.receiveHeartbeat({
		type: 'heartbeat', id, incarnation, counter: scene.counter, tableVersion: 0, changeId: '', peers,
	}, scene.now);
};

const receiveFromAll = (scene: Scene, vms: readonly Vm[]): void => {
	scene.counter++;
	for (const {id} of vms) {
		receive(scene, id);
	}
};

Given('an entry that lists {int} others in {string} and {int} in {string}', function (this: SystemWorld, near: number, nearZone: string, far: number, farZone: string) {
	const makeVms = (count: number, zone: string): Vm[] => Array.from({length: count}, (_, index) => ({
		id: `${zone.split('-')[0]}-${index + 1}`, role: 'entry', availabilityZone: zone, region: 'default', address: '127.0.0.1', linkPort: 1, state: 'live',
	}));
	const vms = [...makeVms(near, nearZone), ...makeVms(far, farZone)];
	const membership = new Membership({id: 'self', availabilityZone: nearZone, incarnation: 'a'});
	membership.noteList(vms, 0);
	this.notes.set('scene', {
		membership, vms, now: 0, counter: 0,
	} satisfies Scene);
});

When('all others send heartbeats', function (this: SystemWorld) {
	const scene = getScene(this);
	receiveFromAll(scene, scene.vms);
});

When('{int} seconds pass without heartbeats', function (this: SystemWorld, seconds: number) {
	getScene(this).now += seconds * 1000;
});

When('{int} seconds pass with heartbeats from {string} only', function (this: SystemWorld, seconds: number, zone: string) {
	const scene = getScene(this);
	for (let second = 0; second < seconds; second++) {
		scene.now += 1000;
		receiveFromAll(scene, scene.vms.filter(vm => vm.availabilityZone === zone));
	}
});

When('{string} sends a heartbeat with a higher counter', function (this: SystemWorld, id: string) {
	const scene = getScene(this);
	scene.counter++;
	receive(scene, id);
});

When('{string} sends a heartbeat of a later incarnation', function (this: SystemWorld, id: string) {
	receive(getScene(this), id, 'b');
});

When('{string} passes on a higher counter of {string}', function (this: SystemWorld, id: string, about: string) {
	const scene = getScene(this);
	scene.counter++;
	receive(scene, id, 'a', [{id: about, incarnation: 'a', counter: scene.counter}]);
});

When('{string} passes on the same counter of {string}', function (this: SystemWorld, id: string, about: string) {
	const scene = getScene(this);
	const {counter} = scene;
	scene.counter++;
	receive(scene, id, 'a', [{id: about, incarnation: 'a', counter}]);
});

When('{string} passes on a high counter of the earlier incarnation of {string}', function (this: SystemWorld, id: string, about: string) {
	receive(getScene(this), id, 'a', [{id: about, incarnation: 'a', counter: 1000}]);
});

When('the list no longer contains {string}', function (this: SystemWorld, id: string) {
	const scene = getScene(this);
	scene.membership.noteList(scene.vms.filter(vm => vm.id !== id), scene.now);
});

Then('{string} is {string}', function (this: SystemWorld, id: string, state: string) {
	const scene = getScene(this);
	assert.equal(scene.membership.getState(id, scene.now), state);
});

Then('{string} is no longer a member', function (this: SystemWorld, id: string) {
	assert.equal(getScene(this).membership.getVm(id), undefined);
});

Then('half of the zones are reachable', function (this: SystemWorld) {
	const scene = getScene(this);
	assert.equal(scene.membership.getReachableZoneShare(scene.now), 0.5);
});

Then(/^(\d+) entr(?:y|ies) (?:is|are) counted as live$/, function (this: SystemWorld, count: string) { // eslint-disable-line require-unicode-regexp
	const scene = getScene(this);
	assert.equal(scene.membership.listLive(scene.now).length, Number(count));
});
