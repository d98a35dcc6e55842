import {type LayerLoads} from './layer-loads.js';
import {type MapShape} from './map-shape.js';

/** Returns a lower bound on the skew of any map: the largest rank load is at least the mean, and at least the hottest expert's load divided by its maximum number of replicas. */
export function boundSkew(loads: LayerLoads, {experts, ranks, slots}: MapShape): number {
	const replicas = Math.min(ranks, (ranks * slots) - experts + 1);
	let largest = 0;
	let means = 0;
	for (const layer of loads) {
		const mean = layer.reduce((sum, load) => sum + load, 0) / ranks;
		largest += Math.max(mean, Math.max(...layer) / replicas);
		means += mean;
	}

	return means === 0 ? 1 : largest / means;
}
