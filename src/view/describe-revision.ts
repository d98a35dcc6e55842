import {type Revision} from '../key-value/revision.js';

/** Describes a revision of the store for the log. */
export function describeRevision({era, number}: Revision): string {
	return `era ${era} revision ${number}`;
}
