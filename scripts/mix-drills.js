/* Mixes drills of the store with other trouble for a range of seeds: `node scripts/mix-drills.js FIRST LAST [silence]`, after a build. */
import process from 'node:process';
import {StoreSimulation} from '../dist/features/support/store-simulation.js';
import {injectRandomFaults} from '../dist/features/support/inject-random-faults.js';

const entries = 6;
const targets = 4;
const mixtureMs = 40_000;
const settleMs = 1000;
const startMs = 50;

const mix = async seed => {
	const simulation = new StoreSimulation(1);
	simulation.configure();
	for (let number = 1; number <= targets; number++) {
		simulation.register(`target-${number}`);
	}

	for (let number = 1; number <= entries; number++) {
		simulation.start(String(number));
		await simulation.advance(startMs);
	}

	await simulation.advance(settleMs);
	simulation.store.takeCopy();
	await injectRandomFaults(simulation, seed, mixtureMs, {includesSilence});
	simulation.close();
	return simulation.violations;
};

const [first, last] = process.argv.slice(2, 4).map(Number);
const includesSilence = process.argv[4] === 'silence';
if (!Number.isInteger(first) || !Number.isInteger(last)) {
	throw new TypeError('usage: node scripts/mix-drills.js FIRST LAST [silence], two whole numbers');
}

let failed = 0;
for (let seed = first; seed <= last; seed++) {
	const faults = await mix(seed);
	if (faults.length > 0) {
		failed++;
		console.log(`seed ${seed}: ${faults[0]}`);
	}
}

console.log(`${last - first + 1 - failed} passed, ${failed} failed`);
process.exitCode = failed === 0 ? 0 : 1;
