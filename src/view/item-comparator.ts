import {type StoredValue} from '../key-value/stored-value.js';

/** Decides which of two items of the store is more recent, by their contents instead of their revisions. */
export type ItemComparator = {
	/**
	 * Whether `offered` is older than `known`, so that it must never replace it. `offered` is undefined if the restored store lacks the
	 * key. Undefined if the contents do not show which is older.
	 */
	readonly isOlder: (known: StoredValue, offered: StoredValue | undefined) => boolean | undefined;
	/** Whether `offered` describes the incarnation that was removed, or an earlier one, and not a later one under the same key. */
	readonly isSameIncarnation: (removed: StoredValue, offered: StoredValue) => boolean;
};
