import {type Row} from './row.js';

/** The difference of one row between two tables; `before` is absent for an added row, `after` for a removed one. */
export type TableDifference = {
	readonly key: string;
	readonly before: Row | undefined;
	readonly after: Row | undefined;
};
