import {type Row} from '../table/row.js';
import {tableColumns} from '../table/table-columns.js';

/** Digits of a token's hash that tell it from others. */
const tokenHashDigits = 8;

/** One line with all that a row says; a row that is not there is said to be absent. */
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
