import {type ExpertMap} from './expert-map.js';
import {type LayerLoads} from './layer-loads.js';
import {type MapShape} from './map-shape.js';
import {repackLayer} from './repack-layer.js';

/** Baseline policy: packs every layer from scratch for the loads of the last interval. */
export function repackMap(present: ExpertMap, loads: LayerLoads, shape: MapShape): ExpertMap {
	return present.map((ranks, layer) => repackLayer(ranks, loads[layer], shape));
}
