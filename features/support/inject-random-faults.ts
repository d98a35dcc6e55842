import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type StoreSimulation} from './store-simulation.js';

type Draw = (count: number) => number;
type Disturbance = (simulation: StoreSimulation, draw: Draw, turn: number) => void;

/** Time without faults at the end, milliseconds. */
const settleMs = 6000;
const maximumPauseMs = 900;
const maximumFaultMs = 2500;
const maximumRewriteDelayMs = 1500;
const slowMs = 240;
const normalMs = 4;
const lostShare = 0.4;
/** A change is in force at the latest 3 s after a silence, and 2 s after it was accepted, milliseconds. */
const silenceAllowanceMs = 1000;

/* Makes a fault that ends after a random time; deadlines are suspended meanwhile. */
const makeTemporaryFault = (begin: (simulation: StoreSimulation, draw: Draw) => () => void): Disturbance => (simulation, draw) => {
	simulation.suspendDeadlines();
	const end = begin(simulation, draw);
	simulation.at(300 + draw(maximumFaultMs), () => {
		end();
		simulation.resumeDeadlines();
	});
};

const pick = (simulation: StoreSimulation, draw: Draw): string => [...simulation.entries.keys()][draw(simulation.entries.size)];

const disturbances: readonly Disturbance[] = [
	simulation => {
		simulation.configure();
	},
	(simulation, _draw, turn) => {
		simulation.register(`stirred-${turn}`);
	},
	(simulation, draw) => {
		const [id] = simulation.listStaying().slice(draw(3));
		if (id !== undefined) {
			simulation.leave(id);
			simulation.at(1500 + draw(1500), () => {
				simulation.remove(id);
			});
		}
	},
	simulation => {
		simulation.store.compact();
	},
	simulation => {
		simulation.store.takeCopy();
	},
	makeTemporaryFault((simulation, draw) => {
		const id = pick(simulation, draw);
		simulation.withoutStore.add(id);
		simulation.setFault('none');
		return () => {
			simulation.withoutStore.delete(id);
			simulation.setFault('none');
		};
	}),
	makeTemporaryFault((simulation, draw) => {
		const {address} = simulation.entries.get(pick(simulation, draw))!;
		simulation.partitioned.add(address);
		return () => {
			simulation.partitioned.delete(address);
		};
	}),
	makeTemporaryFault(simulation => {
		simulation.storeRoundTripMs = slowMs;
		return () => {
			simulation.storeRoundTripMs = normalMs;
		};
	}),
	makeTemporaryFault(simulation => {
		simulation.lostAnswerShare = lostShare;
		return () => {
			simulation.lostAnswerShare = 0;
		};
	}),
	makeTemporaryFault((simulation, draw) => {
		const id = pick(simulation, draw);
		simulation.kill(id);
		return () => {
			simulation.start(`${id}+`);
		};
	}),
];

/* Faults of connections and calls; a change may come up to 3 s after them. */
const silences: readonly Disturbance[] = [
	{links: true, store: true},
	{links: true, store: true, share: 0.5},
	{links: false, store: true},
	{links: true, store: false},
].map(affected => simulation => {
	simulation.silenceConnections({...affected, allowanceMs: silenceAllowanceMs});
});
const refusals: Disturbance = (simulation, draw) => {
	simulation.refusals.set(pick(simulation, draw), 1 + draw(3));
};

type MixtureOptions = {
	/** Whether connections go silent and calls are refused as well. */
	readonly includesSilence?: boolean;
};

/** Runs a random mixture of restores, changes and faults, drawn by a seed, until the time `ms`; then lets the entries settle without faults. */
export async function injectRandomFaults(simulation: StoreSimulation, seed: number, ms: number, {includesSilence = false}: MixtureOptions = {}): Promise<void> {
	const drawn = includesSilence ? [...disturbances, ...silences, refusals] : disturbances;
	const generator = xoroshiro128plus(seed);
	const draw: Draw = count => Math.floor(uniformFloat64(generator) * count);
	for (let turn = 0; simulation.now < ms; turn++) {
		await simulation.advance(10 + draw(maximumPauseMs));
		const isRestore = draw(8) === 0;
		if (isRestore) {
			await simulation.restoreFromBackup({outageMs: draw(2) * draw(maximumFaultMs), rewriteDelayMs: draw(maximumRewriteDelayMs), isSilent: draw(3) === 0});
		} else {
			drawn[draw(drawn.length)](simulation, draw, turn);
		}
	}

	await simulation.advance(maximumFaultMs + settleMs);
}
