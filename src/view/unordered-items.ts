import {type ItemComparator} from './item-comparator.js';

/** The guard of a view whose items do not tell which of two is older. */
export const unorderedItems: ItemComparator = {
	isOlder: () => undefined,
	isSameIncarnation: () => false,
};
