import {type ExpertMap} from './expert-map.js';
import {getRankLoads} from './get-rank-loads.js';
import {type LayerLoads} from './layer-loads.js';

/** Returns the step-time skew of one interval: the sum over layers of the largest rank load, divided by the sum of the mean rank loads. */
export function measureSkew(map: ExpertMap, loads: LayerLoads): number {
	let largest = 0;
	let mean = 0;
	for (const [layer, ranks] of map.entries()) {
		const rankLoads = getRankLoads(ranks, loads[layer]);
		largest += Math.max(...rankLoads);
		mean += rankLoads.reduce((sum, load) => sum + load, 0) / rankLoads.length;
	}

	return mean === 0 ? 1 : largest / mean;
}
