import {type Row} from './row.js';

/** A row that two operators changed to different values since their common base version; undefined stands for a removed row. */
export type TableConflict = {
	readonly key: string;
	readonly mine: Row | undefined;
	readonly theirs: Row | undefined;
};
