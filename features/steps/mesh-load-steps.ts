import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {MeshSimulation} from '../support/mesh-simulation.js';
import {type SystemWorld} from '../support/system-world.js';

const getSimulation = (world: SystemWorld): MeshSimulation => world.notes.get('simulation') as MeshSimulation;
const bytesPerKilobyte = 1000;

Given('{int} entries in {int} zones with {int} targets', function (this: SystemWorld, entries: number, zones: number, targets: number) {
	this.notes.set('simulation', new MeshSimulation({
		entries, zones, targets, seed: 5,
	}));
});

When('they serve for {int} seconds, and then no request starts or ends for {int} milliseconds', {timeout: 120_000}, async function (this: SystemWorld, seconds: number, quietMs: number) {
	await getSimulation(this).run(seconds * 1000, quietMs, simulation => {
		this.notes.set('sent each second', simulation.getMeanBytes() / seconds);
	});
});

Then('each has sent at most {int} KB per second while it served', function (this: SystemWorld, kilobytes: number) {
	const sent = this.notes.get('sent each second') as number;
	assert.ok(sent <= kilobytes * bytesPerKilobyte, `${Math.round(sent)} bytes per second`);
});

Then('each counts all requests in flight', function (this: SystemWorld) {
	assert.equal(getSimulation(this).countWrongTotals(), 0);
});
