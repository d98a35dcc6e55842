import createHasher from 'xxhash-wasm';

const {h32} = await createHasher();

/** A 32-bit hash of a text (xxHash). */
export function hashText(text: string, seed = 0): number {
	return h32(text, seed);
}
