import {createHash} from 'node:crypto';
import {getRowKey} from './get-row-key.js';
import {type Row} from './row.js';
import {type TablePage} from './table-page.js';

/** Largest mean number of rows per page; a page of this size takes about 64 KB. */
const maximumMeanRowsPerPage = 256;
/** Hexadecimal digits of SHA-256 that name a page. */
const hashDigits = 32;

const hashText = (text: string): string => createHash('sha256').update(text).digest('hex').slice(0, hashDigits);

/**
 * Splits a table into pages. The page of a row depends only on the hash of its key, so changing a row changes one page.
 *
 * @returns the pages in the order in which the head lists them; their number is a power of two
 */
export function encodePages(rows: readonly Row[]): TablePage[] {
	const count = 2 ** Math.max(0, Math.ceil(Math.log2(rows.length / maximumMeanRowsPerPage)));
	const buckets: Array<Array<{key: string; row: Row}>> = Array.from({length: count}, () => []);
	for (const row of rows) {
		const key = getRowKey(row);
		buckets[Number.parseInt(hashText(key).slice(0, 8), 16) % count].push({key, row});
	}

	return buckets.map(bucket => {
		const sorted = bucket.toSorted((one, other) => one.key < other.key ? -1 : 1);
		const text = JSON.stringify(sorted.map(({row}) => row));
		return {hash: hashText(text), text};
	});
}
