import {assignLeastCost} from './assign-least-cost.js';
import {type ExpertMap} from './expert-map.js';
import {type LayerLoads} from './layer-loads.js';
import {type MapShape} from './map-shape.js';
import {packLayer} from './pack-layer.js';

/** The baseline: packs every layer anew for the given loads, then gives each packed rank to the present rank that shares most with it. */
export function repackMap(present: ExpertMap, loads: LayerLoads, shape: MapShape): ExpertMap {
	return present.map((ranks, layer) => {
		const packed = packLayer(loads[layer], shape);
		const held = ranks.map(experts => new Set(experts));
		const costs = held.map(experts => packed.map(wanted => wanted.filter(expert => !experts.has(expert)).length));
		return assignLeastCost(costs).map(column => packed[column]);
	});
}
