import {type TableSnapshot} from './table-snapshot.js';

/** The table as the platform holds it; `revision` is that of the head, 0 when there is no table yet. */
export type StoredTable = {
	readonly revision: number;
	readonly snapshot: TableSnapshot | undefined;
};
