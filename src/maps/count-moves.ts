import {type ExpertMap} from './expert-map.js';

/** Counts the copies that must be loaded to change from one map to another: experts on ranks that did not hold them. */
export function countMoves(before: ExpertMap, after: ExpertMap): number {
	let moves = 0;
	for (const [layer, ranks] of after.entries()) {
		for (const [rank, experts] of ranks.entries()) {
			const held = new Set(before[layer][rank]);
			for (const expert of experts) {
				if (!held.has(expert)) {
					moves++;
				}
			}
		}
	}

	return moves;
}
