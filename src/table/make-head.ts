import {type TableChange} from './table-change.js';
import {type TableHead} from './table-head.js';

/** Changes whose names a head keeps, to settle writes whose answer was lost. */
const maximumRecentChanges = 64;

/** Makes the head that follows another, or the first. */
export function makeHead(before: TableHead | undefined, pages: string[], change: TableChange): TableHead {
	const version = (before?.version ?? 0) + 1;
	return {
		version,
		changeId: change.changeId,
		recent: [{changeId: change.changeId, version}, ...(before?.recent ?? [])].slice(0, maximumRecentChanges),
		at: change.now,
		operator: change.operator,
		pages,
	};
}
