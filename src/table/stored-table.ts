import {type TableSnapshot} from './table-snapshot.js';

/** The table as stored on the platform; `revision` is the store revision of the head, 0 if there is no table yet. */
export type StoredTable = {
	readonly revision: number;
	readonly snapshot: TableSnapshot | undefined;
};
