import {type Revision} from './revision.js';

/** Whether `one` is later than `other`: by era, then by number. */
export const isLater = (one: Revision, other: Revision): boolean => one.era > other.era || (one.era === other.era && one.number > other.number);
