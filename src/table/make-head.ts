import {type TableChange} from './table-change.js';
import {type TableHead} from './table-head.js';

/** Recent changes that a head lists, so that the outcome of a write can be looked up after its answer was lost. */
const maximumRecentChanges = 64;

/** Makes the head of the next version; `before` is absent for the first version. */
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
