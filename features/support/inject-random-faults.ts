import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type StoreSimulation} from './store-simulation.js';

type Draw = (count: number) => number;
type Disturbance = (crowd: StoreSimulation, draw: Draw, turn: number) => void;

/** Time after the last trouble until the mixture ends, milliseconds. */
const settleMs = 6000;
const maximumPauseMs = 900;
const maximumFaultMs = 2500;
const maximumRewriteDelayMs = 1500;
const slowMs = 240;
const normalMs = 4;
const lostShare = 0.4;

/* A trouble lasts for a while, and ends by itself. */
const makeTemporaryFault = (begin: (crowd: StoreSimulation, draw: Draw) => () => void): Disturbance => (crowd, draw) => {
	crowd.suspendDeadlines();
	const end = begin(crowd, draw);
	crowd.at(300 + draw(maximumFaultMs), () => {
		end();
		crowd.resumeDeadlines();
	});
};

const pick = (crowd: StoreSimulation, draw: Draw): string => [...crowd.entries.keys()][draw(crowd.entries.size)];

const disturbances: readonly Disturbance[] = [
	crowd => {
		crowd.configure();
	},
	(crowd, _draw, turn) => {
		crowd.register(`stirred-${turn}`);
	},
	(crowd, draw) => {
		const [id] = crowd.listStaying().slice(draw(3));
		if (id !== undefined) {
			crowd.leave(id);
			crowd.at(1500 + draw(1500), () => {
				crowd.remove(id);
			});
		}
	},
	crowd => {
		crowd.store.compact();
	},
	crowd => {
		crowd.store.takeCopy();
	},
	makeTemporaryFault((crowd, draw) => {
		const id = pick(crowd, draw);
		crowd.withoutStore.add(id);
		crowd.setFault('none');
		return () => {
			crowd.withoutStore.delete(id);
			crowd.setFault('none');
		};
	}),
	makeTemporaryFault((crowd, draw) => {
		const {address} = crowd.entries.get(pick(crowd, draw))!;
		crowd.partitioned.add(address);
		return () => {
			crowd.partitioned.delete(address);
		};
	}),
	makeTemporaryFault(crowd => {
		crowd.storeRoundTripMs = slowMs;
		return () => {
			crowd.storeRoundTripMs = normalMs;
		};
	}),
	makeTemporaryFault(crowd => {
		crowd.lostAnswerShare = lostShare;
		return () => {
			crowd.lostAnswerShare = 0;
		};
	}),
	makeTemporaryFault((crowd, draw) => {
		const id = pick(crowd, draw);
		crowd.kill(id);
		return () => {
			crowd.start(`${id}+`);
		};
	}),
];

/** Mixes drills of the store with changes and other trouble, drawn by a seed, and ends in calm. */
export async function injectRandomFaults(crowd: StoreSimulation, seed: number, ms: number): Promise<void> {
	const generator = xoroshiro128plus(seed);
	const draw: Draw = count => Math.floor(uniformFloat64(generator) * count);
	for (let turn = 0; crowd.now < ms; turn++) {
		await crowd.advance(10 + draw(maximumPauseMs));
		const isDrill = draw(8) === 0;
		if (isDrill) {
			await crowd.restoreFromBackup({outageMs: draw(2) * draw(maximumFaultMs), rewriteDelayMs: draw(maximumRewriteDelayMs), isSilent: draw(3) === 0});
		} else {
			disturbances[draw(disturbances.length)](crowd, draw, turn);
		}
	}

	await crowd.advance(maximumFaultMs + settleMs);
}
