import assert from 'node:assert/strict';
import {setImmediate as yieldTurn} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {ok} from 'neverthrow';
import {Registration} from '../../src/mesh/registration.js';
import {type SystemWorld} from '../support/system-world.js';

type Scene = {readonly registration: Registration; writes: number; answer: (isKept: boolean) => void};

const renewMs = 200_000;
const lookMs = 100;
const known = {era: 0, item: {key: 'key', value: 'value', revision: 1}};

const getScene = (world: SystemWorld): Scene => world.notes.get('registration') as Scene;

Given('a registration with a pending renewal call', async function (this: SystemWorld) {
	const scene: Scene = {
		writes: 0,
		answer: String,
		registration: new Registration({
			registry: {
				get: async () => ok(undefined),
				grantLeaseFor: async () => ok('lease'),
				async commit() {
					scene.writes++;
					return ok({era: 0, number: scene.writes});
				},
				keepLease: async () => new Promise(resolve => {
					scene.answer = isKept => {
						resolve(ok(isKept));
					};
				}),
			},
			key: 'key',
			value: 'value',
			random: () => 1,
			log: String,
		}),
	};
	this.notes.set('registration', scene);
	await scene.registration.tick(0, known);
	void scene.registration.tick(renewMs, known);
	assert.equal(scene.writes, 1);
});

When('the store is restored without it, and the call is answered', async function (this: SystemWorld) {
	const {registration, answer} = getScene(this);
	void registration.tick(renewMs + lookMs, {era: 1});
	answer(true);
	await yieldTurn();
});

Then('it is written again within {int} ms', async function (this: SystemWorld, ms: number) {
	const scene = getScene(this);
	for (let passedMs = lookMs; passedMs <= ms; passedMs += lookMs) {
		void scene.registration.tick(renewMs + passedMs, {era: 1});
		await yieldTurn();
	}

	assert.equal(scene.writes, 2);
});
