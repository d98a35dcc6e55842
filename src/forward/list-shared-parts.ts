import createHasher from 'xxhash-wasm';

/** Most parts of one prompt that are considered; a longer list only costs memory. */
const maximumParts = 256;
/** Identifiers of this form are kept as they are; all others are replaced by their hash, so that each takes bounded memory. */
const plainIdentifier = /^[\w\-]{1,32}$/v;
const hexadecimal = 16;

const {h64} = await createHasher();

const toIdentifier = (entry: string): string => {
	const [text] = entry.trim().toLowerCase().split(':', 1);
	return text === '' || plainIdentifier.test(text) ? text : h64(text).toString(hexadecimal);
};

/**
 * Lists the parts of a prompt that other requests may share, from a list `ID:TOKENS, ID:TOKENS, ...`. The last entry belongs to the
 * request alone and is left out, and so are empty entries and repetitions.
 */
export function listSharedParts(list: string | undefined): readonly string[] {
	const entries = list?.split(',', maximumParts + 1).slice(0, -1) ?? [];
	return [...new Set(entries.map(entry => toIdentifier(entry)))].filter(id => id !== '');
}
