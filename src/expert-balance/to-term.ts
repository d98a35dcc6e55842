import {type Revision} from '../key-value/revision.js';

/** More revisions than a store loses when it comes back from a copy of some seconds or minutes before. */
const revisionsPerEra = 1_000_000;

/**
 * Number of the planner's term that begins with a revision of its key. It is unique and rises with the era, although revisions are given
 * out again, so that it fences planners across a store that comes back from an older copy.
 */
export const toTerm = ({era, number}: Revision): number => (era * revisionsPerEra) + number;
