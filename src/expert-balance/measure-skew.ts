import {type ExpertMap} from '../maps/expert-map.js';
import {type LayerLoads} from '../maps/layer-loads.js';

/** Time of the most loaded rank by the mean over ranks, over all layers, if a map were in force; 1 without load. */
export function measureSkew(map: ExpertMap, loads: LayerLoads, paces: readonly number[]): number {
	let peaks = 0;
	let means = 0;
	for (const [layer, ranks] of map.entries()) {
		const shares = shareLoads(ranks, loads[layer]);
		const rankLoads = ranks.map((experts, rank) => paces[rank] * sumOf(experts, expert => shares[expert]));
		peaks += Math.max(...rankLoads);
		means += sumOf(loads[layer], load => load) / ranks.length;
	}

	return means === 0 ? 1 : peaks / means;
}

/* What each replica of an expert takes of its load. */
function shareLoads(ranks: ReadonlyArray<readonly number[]>, loads: readonly number[]): number[] {
	const replicas = loads.map(() => 0);
	for (const experts of ranks) {
		for (const expert of experts) {
			replicas[expert]++;
		}
	}

	return loads.map((load, expert) => load / Math.max(1, replicas[expert]));
}

function sumOf(values: readonly number[], weigh: (value: number) => number): number {
	let sum = 0;
	for (const value of values) {
		sum += weigh(value);
	}

	return sum;
}
