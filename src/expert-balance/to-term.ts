import {type Revision} from '../key-value/revision.js';

/** More revisions than a store loses when it is restored from a backup that is some seconds or minutes old. */
const revisionsPerEra = 1_000_000;

/**
 * Returns the number of the planner's term that begins with a revision of the planner key. Numbers are unique and increase
 * with the era, although a store that was restored from an older backup reuses revisions, so they fence planners across it.
 */
export const toTerm = ({era, number}: Revision): number => (era * revisionsPerEra) + number;
