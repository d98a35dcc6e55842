/* Mixes drills of the store with other trouble for a range of seeds: `node scripts/mix-drills.js FIRST LAST`, after a build. */
import process from 'node:process';
import {StoreCrowd} from '../dist/features/support/store-crowd.js';
import {stirStore} from '../dist/features/support/stir-store.js';

const entries = 6;
const targets = 4;
const mixtureMs = 40_000;
const settleMs = 1000;
const startMs = 50;

const mix = async seed => {
	const crowd = new StoreCrowd(1);
	crowd.configure();
	for (let number = 1; number <= targets; number++) {
		crowd.register(`target-${number}`);
	}

	for (let number = 1; number <= entries; number++) {
		crowd.start(String(number));
		await crowd.pass(startMs);
	}

	await crowd.pass(settleMs);
	crowd.store.takeCopy();
	await stirStore(crowd, seed, mixtureMs);
	crowd.close();
	return crowd.faults;
};

const [first, last] = process.argv.slice(2).map(Number);
if (!Number.isInteger(first) || !Number.isInteger(last)) {
	throw new TypeError('usage: node scripts/mix-drills.js FIRST LAST, two whole numbers');
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
