import {type Row} from './row.js';

/** A table file that was read: its rows and the version that it was exported from (0: none). */
export type ParsedTable = {
	readonly rows: Row[];
	readonly basedOn: number;
};
