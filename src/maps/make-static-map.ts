import {type ExpertMap} from './expert-map.js';
import {type MapShape} from './map-shape.js';

/** Creates the initial map: experts in order, assigned to the slots rank by rank, and repeated until all slots are filled. */
export function makeStaticMap({layers, experts, ranks, slots}: MapShape): ExpertMap {
	return Array.from({length: layers}, () => Array.from({length: ranks}, (_rank, rank) =>
		Array.from({length: slots}, (_slot, slot) => ((rank * slots) + slot) % experts)));
}
