import {type Row} from '../table/row.js';
import {tableColumns} from '../table/table-columns.js';

/** Hexadecimal digits of a token's hash that are printed; enough to identify the token. */
const tokenHashDigits = 8;

/** Formats a row as one line of HEADING=VALUE pairs; a missing row as `(absent)`. */
export function describeRow(row: Row | undefined): string {
	if (!row) {
		return '(absent)';
	}

	const named = {...row, tokenHashes: row.tokenHashes.map(hash => hash.slice(0, tokenHashDigits)).join('+')};
	return tableColumns
		.filter(({field}) => named[field] !== undefined && named[field] !== '')
		.map(({heading, field}) => `${heading}=${named[field]}`)
		.join(' ');
}
