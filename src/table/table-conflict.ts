import {type Row} from './row.js';

/** A row that two operators changed differently since the version that both started from. */
export type TableConflict = {
	readonly key: string;
	readonly mine: Row | undefined;
	readonly theirs: Row | undefined;
};
