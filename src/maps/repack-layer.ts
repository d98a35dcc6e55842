import {assignLeastCost} from './assign-least-cost.js';
import {type MapShape} from './map-shape.js';
import {packLayer} from './pack-layer.js';

/** Packs one layer from scratch for the given loads, then assigns the packed ranks to the current ranks with the fewest copies to load. */
export function repackLayer(present: ReadonlyArray<readonly number[]>, loads: readonly number[], shape: MapShape): number[][] {
	const packed = packLayer(loads, shape);
	const held = present.map(experts => new Set(experts));
	const costs = held.map(experts => packed.map(wanted => wanted.filter(expert => !experts.has(expert)).length));
	return assignLeastCost(costs).map(column => packed[column]);
}
