import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {type StoreSimulation} from '../support/store-simulation.js';
import {type SystemWorld} from '../support/system-world.js';

const getSimulation = (world: SystemWorld): StoreSimulation => world.notes.get('simulation') as StoreSimulation;
const longScenarioMs = 120_000;
/** Time by which the deadline of a change is extended after a silence: it is at the latest 3 s after it, and 2 s after the change. */
const allowanceMs = 1000;
/** Time from the silence to the next change, milliseconds. */
const changeDelayMs = 100;
const slowMs = 240;
const lostChanges = 12;
const rewriteDelayMs = 300;

const connections: Readonly<Record<string, {readonly links: boolean; readonly store: boolean; readonly share?: number}>> = {
	all: {links: true, store: true},
	'the store\'s': {links: false, store: true},
	'half of all': {links: true, store: true, share: 0.5},
};

const refuse = (simulation: StoreSimulation, count: number): void => {
	for (const id of simulation.entries.keys()) {
		simulation.refusals.set(id, count);
	}
};

const silenceAgain = (simulation: StoreSimulation, afterMs: number): void => {
	simulation.at(afterMs, () => {
		simulation.silenceConnections({...connections.all, allowanceMs});
	});
};

/** What happens beside the silence, by the words of the rows; called at the moment of the silence. */
const faults: Readonly<Record<string, (simulation: StoreSimulation) => void>> = {
	'nothing else happens': () => undefined,
	'the pools hold older connections': () => undefined,
	'the store takes 240 ms for a call'(simulation) {
		simulation.storeRoundTripMs = slowMs;
	},
	'the store refuses the next two calls'(simulation) {
		refuse(simulation, 2);
	},
	'the store refuses the next five calls'(simulation) {
		refuse(simulation, 5);
	},
	'the store\'s history is compacted'(simulation) {
		simulation.at(changeDelayMs + 100, () => {
			simulation.store.compact();
		});
	},
	'the store is restored without its last 12 changes'(simulation) {
		simulation.store.takeCopy();
		for (let number = 0; number < lostChanges; number++) {
			simulation.store.put(`others/${number}`, number);
		}

		simulation.store.restoreCopy(true);
		simulation.at(rewriteDelayMs, () => {
			simulation.rewriteLostKeys();
		});
	},
	'two entries restart'(simulation) {
		for (const id of [...simulation.entries.keys()].slice(0, 2)) {
			simulation.kill(id);
			simulation.at(400, () => {
				simulation.start(id);
			});
		}
	},
	'they go silent again 300 ms later'(simulation) {
		silenceAgain(simulation, 300);
	},
	'they go silent again 1100 ms later'(simulation) {
		silenceAgain(simulation, 1100);
	},
	'they go silent again 2600 ms later'(simulation) {
		silenceAgain(simulation, 2600);
	},
	'half of the entries cannot reach the store'(simulation) {
		for (const id of [...simulation.entries.keys()].slice(0, simulation.entries.size / 2)) {
			simulation.withoutStore.add(id);
		}

		simulation.setFault('none');
	},
};

When('{string} connections go silent {int} ms after a change, and {string}', {timeout: longScenarioMs}, async function (this: SystemWorld, which: string, age: number, besides: string) {
	const simulation = getSimulation(this);
	simulation.configure();
	if (besides === 'the pools hold older connections') {
		simulation.addIdleConnections(3);
	}

	await simulation.advance(age);
	simulation.silenceConnections({...connections[which], allowanceMs: besides === 'nothing else happens' ? 0 : allowanceMs});
	faults[besides](simulation);
	await simulation.advance(changeDelayMs);
});

Then('every entry hears every other one', function (this: SystemWorld) {
	const {entries, now} = getSimulation(this);
	const heard = [...entries.values()].map(({path}) => path.inFlightCounts.countLivePeers(now));
	assert.deepEqual(heard, heard.map(() => entries.size - 1));
});
