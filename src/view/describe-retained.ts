import {type ViewSnapshot} from './view-snapshot.js';

/** Most keys that are named. */
const maximumNamedKeys = 5;

/** Names the keys on which a process goes on with what it knew, for a log line; empty where there are none. */
export function describeRetained(retained: NonNullable<ViewSnapshot['retained']>): string {
	if (retained.length === 0) {
		return '';
	}

	const named = retained.slice(0, maximumNamedKeys).map(({key, item}) => item ? key : `${key} as removed`);
	const more = retained.length > maximumNamedKeys ? ` and ${retained.length - maximumNamedKeys} more` : '';
	return `; kept against it until written again: ${named.join(', ')}${more}`;
}
