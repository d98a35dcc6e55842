import {type Revision} from './revision.js';

/** Whether one revision is later than another. */
export const isLater = (one: Revision, other: Revision): boolean => one.era > other.era || (one.era === other.era && one.number > other.number);
