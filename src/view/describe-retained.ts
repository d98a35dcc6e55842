import {type ViewSnapshot} from './view-snapshot.js';

/** Most keys that are named. */
const namedKeys = 5;

/** Names the keys on which a process goes on with what it knew, for a log line; empty where there are none. */
export function describeRetained(retained: NonNullable<ViewSnapshot['retained']>): string {
	if (retained.length === 0) {
		return '';
	}

	const named = retained.slice(0, namedKeys).map(({key, item}) => item ? key : `${key} as removed`);
	const more = retained.length > namedKeys ? ` and ${retained.length - namedKeys} more` : '';
	return `; kept against it until written again: ${named.join(', ')}${more}`;
}
