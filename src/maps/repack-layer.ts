import {assignLeastCost} from './assign-least-cost.js';
import {type MapShape} from './map-shape.js';
import {packLayer} from './pack-layer.js';

/** Packs one layer anew for the given loads, then gives each packed rank to the present rank that shares most with it. */
export function repackLayer(present: ReadonlyArray<readonly number[]>, loads: readonly number[], shape: MapShape): number[][] {
	const packed = packLayer(loads, shape);
	const held = present.map(experts => new Set(experts));
	const costs = held.map(experts => packed.map(wanted => wanted.filter(expert => !experts.has(expert)).length));
	return assignLeastCost(costs).map(column => packed[column]);
}
