import {type StoredItem} from './stored-item.js';

type Items = ReadonlyMap<string, StoredItem>;

const groupKeysByRevision = (items: Items): Map<number, Set<string>> => {
	const keys = new Map<number, Set<string>>();
	for (const {key, revision} of items.values()) {
		keys.set(revision, (keys.get(revision) ?? new Set()).add(key));
	}

	return keys;
};

/* The first revision that both hold for different keys: it was assigned again after the restore. */
const findFirstReassigned = (former: Items, stored: Items): number => {
	const formerKeys = groupKeysByRevision(former);
	const reassigned = [...groupKeysByRevision(stored)]
		.filter(([revision, keys]) => formerKeys.has(revision) && [...keys].every(key => !formerKeys.get(revision)!.has(key)))
		.map(([revision]) => revision);
	return Math.min(Number.POSITIVE_INFINITY, ...reassigned);
};

/**
 * Finds a revision that the copy from which a store was restored certainly includes: the highest one at which the view before and the
 * restored store hold the same item. A revision that was assigned again, and all later ones, are not in the copy.
 *
 * @returns the revision; 0 if no item shows one
 */
export function findCopyRevision(former: Items, stored: Items): number {
	const firstReassigned = findFirstReassigned(former, stored);
	const copied = [...stored.values()].filter(({key, revision, value}) => {
		const known = former.get(key);
		return revision < firstReassigned && known?.revision === revision && known.value === value;
	});
	return Math.max(0, ...copied.map(({revision}) => revision));
}
