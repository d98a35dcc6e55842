import {type ExpertMap} from './expert-map.js';
import {type MapShape} from './map-shape.js';

/** The map to start with: experts in order, dealt into the slots rank by rank and round again. */
export function makeStaticMap({layers, experts, ranks, slots}: MapShape): ExpertMap {
	return Array.from({length: layers}, () => Array.from({length: ranks}, (_rank, rank) =>
		Array.from({length: slots}, (_slot, slot) => ((rank * slots) + slot) % experts)));
}
