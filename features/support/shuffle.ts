import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Returns a copy of a list in a pseudo-random order (Fisher-Yates) that depends only on the seed. */
export function shuffle<Item>(items: readonly Item[], seed: number): Item[] {
	const generator = xoroshiro128plus(seed);
	const shuffled = [...items];
	for (let index = shuffled.length - 1; index > 0; index--) {
		const other = uniformInt(generator, 0, index);
		[shuffled[index], shuffled[other]] = [shuffled[other], shuffled[index]];
	}

	return shuffled;
}
