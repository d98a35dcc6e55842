import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A copy of a list in an order that the seed decides. */
export function shuffle<Item>(items: readonly Item[], seed: number): Item[] {
	const generator = xoroshiro128plus(seed);
	const shuffled = [...items];
	for (let index = shuffled.length - 1; index > 0; index--) {
		const other = uniformInt(generator, 0, index);
		[shuffled[index], shuffled[other]] = [shuffled[other], shuffled[index]];
	}

	return shuffled;
}
