import {type Row} from './row.js';

/** A parsed table file. */
export type ParsedTable = {
	readonly rows: Row[];
	/** Version that the file was exported from; 0 if it names none. */
	readonly basedOn: number;
};
