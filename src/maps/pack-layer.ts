import {type MapShape} from './map-shape.js';

type Copy = {readonly expert: number; readonly load: number};

/* Determines the number of replicas: each spare slot goes to the expert with the highest load per replica. */
const countReplicas = (loads: readonly number[], {experts, ranks, slots}: MapShape): number[] => {
	const counts = Array.from({length: experts}, () => 1);
	for (let spare = (ranks * slots) - experts; spare > 0; spare--) {
		let hottest = -1;
		for (let expert = 0; expert < experts; expert++) {
			const isBetter = hottest === -1 || loads[expert] / counts[expert] > loads[hottest] / counts[hottest];
			if (counts[expert] < ranks && isBetter) {
				hottest = expert;
			}
		}

		counts[hottest]++;
	}

	return counts;
};

/* Places a copy that would be twice on every rank with a free slot, by moving another copy to the free slot. */
const placeBySwap = (placed: number[][], copy: Copy, slots: number): void => {
	const open = placed.findIndex(experts => experts.length < slots);
	for (const experts of placed) {
		const slot = experts.findIndex(expert => !placed[open].includes(expert));
		if (!experts.includes(copy.expert) && slot !== -1) {
			placed[open].push(experts[slot]);
			experts[slot] = copy.expert;
			return;
		}
	}
};

/**
 * Packs one layer from scratch: replicas in proportion to load, then the heaviest copy first onto the least loaded rank with room.
 *
 * @see https://doi.org/10.1137/0117039 longest processing time first
 */
export function packLayer(loads: readonly number[], shape: MapShape): number[][] {
	const counts = countReplicas(loads, shape);
	const copies = counts
		.flatMap((count, expert) => Array.from({length: count}, (): Copy => ({expert, load: loads[expert] / count})))
		.toSorted((one, other) => other.load - one.load);
	const placed: number[][] = Array.from({length: shape.ranks}, () => []);
	const rankLoads = new Float64Array(shape.ranks);
	for (const copy of copies) {
		let best = -1;
		for (let rank = 0; rank < shape.ranks; rank++) {
			const hasRoom = placed[rank].length < shape.slots && !placed[rank].includes(copy.expert);
			if (hasRoom && (best === -1 || rankLoads[rank] < rankLoads[best])) {
				best = rank;
			}
		}

		if (best === -1) {
			placeBySwap(placed, copy, shape.slots);
		} else {
			placed[best].push(copy.expert);
			rankLoads[best] += copy.load;
		}
	}

	return placed;
}
