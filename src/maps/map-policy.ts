import {type ExpertMap} from './expert-map.js';
import {type LayerLoads} from './layer-loads.js';

/** Chooses the map for the next interval from the map in force and the loads of the interval that has ended. */
export type MapPolicy = (map: ExpertMap, loads: LayerLoads) => ExpertMap;
