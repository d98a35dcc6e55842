import {type Row} from './row.js';

/** The key of a row: its service, organisation and group. */
export function getRowKey(row: Pick<Row, 'service' | 'organisation' | 'group'>): string {
	return `${row.service}/${row.organisation}/${row.group}`;
}
