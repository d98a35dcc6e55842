import {type ItemComparator} from './item-comparator.js';

/** Comparator for views whose items do not show which of two is older. */
export const unorderedItems: ItemComparator = {
	isOlder: () => undefined,
	isSameIncarnation: () => false,
};
