import createHasher from 'xxhash-wasm';

const {h32} = await createHasher();

/** Returns the 32-bit xxHash of a text. */
export function hashText(text: string, seed = 0): number {
	return h32(text, seed);
}
