import {type MapPolicy} from './map-policy.js';
import {MapPlanner} from './map-planner.js';
import {type MapShape} from './map-shape.js';
import {type MapWeights} from './map-weights.js';
import {repackMap} from './repack-map.js';

/** Creates the policy of a name. */
export function makePolicy(name: 'static' | 'repack' | 'incremental', shape: MapShape, weights: MapWeights): MapPolicy {
	switch (name) {
		case 'static': {
			return map => map;
		}

		case 'repack': {
			return (map, loads) => repackMap(map, loads, shape);
		}

		case 'incremental': {
			const planner = new MapPlanner(shape, weights);
			return (map, loads) => planner.plan(map, loads);
		}
	}
}
