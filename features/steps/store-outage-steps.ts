import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {type StoreSimulation} from '../support/store-simulation.js';
import {type SystemWorld} from '../support/system-world.js';

const getSimulation = (world: SystemWorld): StoreSimulation => world.notes.get('simulation') as StoreSimulation;
/** Round-trip time of calls that are answered, and of those that are swallowed, milliseconds. */
const roundTripMs = 4;
const swallowedMs = 1_000_000_000;
/** Interval between two writes of a target, milliseconds. */
const heartbeatMs = 1200;
/** Time after which no entry waits for a registration any more, milliseconds. */
const settleMs = 3000;
const targets = ['target-1', 'target-2', 'target-3', 'target-4'];
const removed = 'target-2';
const longScenarioMs = 60_000;

const interrupt = async (simulation: StoreSimulation, outageMs: number, calls: string, atEnd: () => void = String): Promise<void> => {
	if (calls === 'swallowed') {
		simulation.storeRoundTripMs = swallowedMs;
	} else {
		simulation.setFault('down');
	}

	await simulation.advance(outageMs);
	atEnd();
	simulation.storeRoundTripMs = roundTripMs;
	simulation.setFault('none');
};

const awayAndWrite = 'the store is away for {int} ms and calls are {word}, and targets write {word} after its return';

When(awayAndWrite, {timeout: longScenarioMs}, async function (this: SystemWorld, outageMs: number, calls: string, writes: string) {
	const simulation = getSimulation(this);
	await interrupt(simulation, outageMs, calls);
	this.notes.set('returned', simulation.now);
	this.notes.set('writes', writes);
});

When('a target is removed {int} ms after its return, {int} ms after another change', async function (this: SystemWorld, removedMs: number, gapMs: number) {
	const simulation = getSimulation(this);
	const changedMs = removedMs - gapMs;
	if (this.notes.get('writes') === 'often') {
		for (const [index, id] of targets.entries()) {
			const firstMs = heartbeatMs / targets.length * (index + 1);
			for (let ms = firstMs; ms < changedMs - heartbeatMs; ms += heartbeatMs) {
				simulation.at(ms, () => {
					simulation.rewrite(id);
				});
			}
		}
	}

	await simulation.advance(changedMs);
	simulation.store.put('others/1', removedMs);
	await simulation.advance(gapMs);
	simulation.remove(removed);
});

Then('no entry uses that target {int} ms later', async function (this: SystemWorld, ms: number) {
	const simulation = getSimulation(this);
	await simulation.advance(ms);
	assert.equal(simulation.countUsing(removed), 0);
	await simulation.advance(settleMs);
	assert.equal(simulation.countUsing(removed), 0);
});

const awayAndExpire = 'the store is away for {int} ms and calls are {word}, and registrations expire {int} ms after its return until {int} ms after it';

When(awayAndExpire, {timeout: longScenarioMs}, async function (this: SystemWorld, outageMs: number, calls: string, expireMs: number, backMs: number) {
	const simulation = getSimulation(this);
	simulation.startTrackingUse();
	const expire = (): void => {
		for (const id of targets) {
			simulation.store.remove(`targets/${id}`);
		}
	};

	await interrupt(simulation, outageMs, calls, expireMs === 0 ? expire : undefined);
	if (expireMs > 0) {
		simulation.at(expireMs, expire);
	}

	simulation.at(backMs, () => {
		simulation.rewriteLostKeys();
	});
	await simulation.advance(backMs + settleMs);
	assert.deepEqual(targets.map(id => simulation.countUsing(id)), targets.map(() => simulation.entries.size));
});
