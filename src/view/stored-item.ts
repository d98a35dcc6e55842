import {type StoredValue} from '../key-value/stored-value.js';

/** A value of the store with the era in which it was read. Its revision is comparable only within that era. */
export type StoredItem = StoredValue & {readonly era: number};
