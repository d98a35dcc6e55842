import {type StoredValue} from '../key-value/stored-value.js';

/** What items of the store stand for, as far as it decides which of two is to be believed. */
export type ItemComparator = {
	/**
	 * Whether `offered` says less than `known`, so that it never replaces it. `offered` is undefined where a copy of the store lacks the
	 * key; the result is undefined where the items do not tell.
	 */
	readonly isOlder: (known: StoredValue, offered: StoredValue | undefined) => boolean | undefined;
	/** Whether `offered` stands for what was removed, and not for something that came after it. */
	readonly isSameIncarnation: (removed: StoredValue, offered: StoredValue) => boolean;
};
