import {type StoredValue} from '../key-value/stored-value.js';

/** A value of the store with the era in which it was read; its revision counts within that era only. */
export type StoredItem = StoredValue & {readonly era: number};
