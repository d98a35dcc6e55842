import {hashText} from './hash-text.js';
import {mixHashes} from './mix-hashes.js';

/**
 * Orders names by rendezvous hashing: all processes that know the same names get the same order for a key, and adding
 * or removing a name does not reorder the others.
 */
export function rankByRendezvous(key: string, names: readonly string[]): string[] {
	const keyHash = hashText(key);
	return names
		.map(name => ({name, score: mixHashes(keyHash, hashText(name))}))
		.toSorted((one, other) => other.score - one.score || (one.name < other.name ? -1 : 1))
		.map(({name}) => name);
}
