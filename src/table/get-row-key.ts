import {type Row} from './row.js';

/** Returns the unique key of a row: SERVICE/ORGANISATION/GROUP. */
export function getRowKey(row: Pick<Row, 'service' | 'organisation' | 'group'>): string {
	return `${row.service}/${row.organisation}/${row.group}`;
}
