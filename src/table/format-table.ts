import {stringify} from 'csv-stringify/sync';
import {getRowKey} from './get-row-key.js';
import {type Row} from './row.js';
import {tableColumns} from './table-columns.js';

const formatCell = (value: Row[keyof Row]): string => Array.isArray(value) ? value.join(' ') : String(value ?? '');

/** Formats rows as CSV for spreadsheets, sorted by key; the column `based_on` holds `version`. */
export function formatTable(rows: readonly Row[], version: number): string {
	const sorted = rows.toSorted((one, other) => getRowKey(one) < getRowKey(other) ? -1 : 1);
	const records = sorted.map(row => [...tableColumns.map(({field}) => formatCell(row[field])), String(version)]);
	return stringify([[...tableColumns.map(({heading}) => heading), 'based_on'], ...records]);
}
