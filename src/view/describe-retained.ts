import {type ViewSnapshot} from './view-snapshot.js';

/** Maximum number of keys named in one log line. */
const maximumNamedKeys = 5;

/** Describes the keys for which a view retains its own values, as the end of a log line; empty if there are none. */
export function describeRetained(retained: NonNullable<ViewSnapshot['retained']>): string {
	if (retained.length === 0) {
		return '';
	}

	const named = retained.slice(0, maximumNamedKeys).map(({key, item}) => item ? key : `${key} as removed`);
	const more = retained.length > maximumNamedKeys ? ` and ${retained.length - maximumNamedKeys} more` : '';
	return `; retained until written again: ${named.join(', ')}${more}`;
}
