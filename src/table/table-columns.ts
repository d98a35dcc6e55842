import {type Row} from './row.js';

type Column = {
	/** Heading in the CSV file. */
	readonly heading: string;
	readonly field: keyof Row;
	readonly kind: 'text' | 'number' | 'list';
};

/** The columns of the table in CSV, in order. The column `based_on`, the exported version, follows them. */
export const tableColumns: readonly Column[] = [
	{heading: 'service', field: 'service', kind: 'text'},
	{heading: 'organisation', field: 'organisation', kind: 'text'},
	{heading: 'group', field: 'group', kind: 'text'},
	{heading: 'weight', field: 'weight', kind: 'number'},
	{heading: 'concurrency', field: 'concurrency', kind: 'number'},
	{heading: 'requests_per_second', field: 'requestsPerSecond', kind: 'number'},
	{heading: 'tokens_per_second', field: 'tokensPerSecond', kind: 'number'},
	{heading: 'urgency', field: 'urgency', kind: 'number'},
	{heading: 'skew_weight', field: 'skewWeight', kind: 'number'},
	{heading: 'move_weight', field: 'moveWeight', kind: 'number'},
	{heading: 'token_sha256', field: 'tokenHashes', kind: 'list'},
];
