import {type RemovedKey} from '../key-value/removed-key.js';
import {type StoredValue} from '../key-value/stored-value.js';
import {findCopyRevision} from './find-copy-revision.js';
import {type ItemComparator} from './item-comparator.js';
import {rewriteWindowMs} from './rewrite-window-ms.js';
import {type RemovedItems} from './removed-items.js';
import {type StoredItem} from './stored-item.js';
import {type ViewSnapshot} from './view-snapshot.js';

type Items = ReadonlyMap<string, StoredItem>;

type Retained = {
	/** The value that overrides the stored one; undefined if the key is treated as removed. */
	readonly item: StoredItem | undefined;
	/** When the override expires, milliseconds; infinite if it holds until a newer value is written. */
	readonly until: number;
	/** Whether the key is only presumed removed: a peer that has followed the store since before the restore decides. */
	readonly isPresumed?: boolean;
};

type Rollback = {
	/** The items in effect before the rollback, those that the store holds now, and recent removals. */
	readonly before: Items;
	readonly stored: Items;
	readonly removed: RemovedItems;
	/** The store's own items before the rollback, and the revision since which removals are recorded. */
	readonly former: Items;
	readonly recordedFrom: number;
	/** Revision up to which the former items were complete. */
	readonly formerRevision: number;
};

type PeerItems = Pick<ViewSnapshot, 'items' | 'retained' | 'presumed'>;

/** Time within which a registration that is not renewed expires, milliseconds. A removed one that a backup holds again is ignored this long. */
const registrationExpiryMs = 10_000;

/**
 * Values that this process uses instead of the store's, because the store was restored from an older backup or holds a value that was
 * already replaced.
 */
export class RetainedItems {
	private readonly entries = new Map<string, Retained>();

	constructor(private readonly comparator: ItemComparator) {}

	get size(): number {
		return this.entries.size;
	}

	get(key: string): Retained | undefined {
		return this.entries.get(key);
	}

	/** Retains an item until a newer one is written. */
	retain(item: StoredItem): void {
		this.entries.set(item.key, {item, until: Number.POSITIVE_INFINITY});
	}

	/** The store's items with the retained ones laid over them, by key. */
	overlay(stored: Items): Items {
		const merged = new Map(stored);
		for (const [key, {item}] of this.entries) {
			if (item) {
				merged.set(key, item);
			} else {
				merged.delete(key);
			}
		}

		return merged;
	}

	/** Rebuilds the retained set after the store was restored from a backup; `now` in milliseconds. */
	rebuild(rollback: Rollback, now: number): void {
		const {before, stored, removed} = rollback;
		const formerEntries = new Map(this.entries);
		this.entries.clear();
		for (const known of before.values()) {
			const until = this.findRetentionEnd(known, stored.get(known.key), now);
			if (until !== undefined) {
				this.entries.set(known.key, {item: known, until});
			}
		}

		this.releaseRemoved(removed.values());

		for (const [key, offered] of stored) {
			if (!before.has(key) && this.isFromBackup(offered, rollback)) {
				this.entries.set(key, {item: undefined, until: now + registrationExpiryMs});
			}
		}

		this.keepRemovals(formerEntries, rollback, now);
		this.ignoreUnrecordedRemovals(rollback, now);
	}

	/** Keys that are only presumed removed. */
	listPresumed(): string[] {
		return [...this.entries].filter(([, {isPresumed}]) => isPresumed).map(([key]) => key);
	}

	/** Adopts a peer's presumed removals of keys that are the same here; returns whether there are any. */
	adoptPresumed({presumed, items}: {readonly presumed: readonly string[]; readonly items: readonly StoredItem[]}, stored: Items, now: number): boolean {
		const adopted = items.filter(({key, revision}) => presumed.includes(key) && stored.get(key)?.revision === revision && !this.entries.has(key));
		for (const {key} of adopted) {
			this.entries.set(key, {item: undefined, until: now + rewriteWindowMs, isPresumed: true});
		}

		return adopted.length > 0;
	}

	/**
	 * Decides on the presumed removals by the view of a peer that knows the store from before it was restored.
	 *
	 * @returns whether any key is in use again
	 */
	confirmPresumed({items, retained = [], presumed = []}: PeerItems): boolean {
		const stored = new Map(items.map(item => [item.key, item]));
		const removedKeys = new Set(retained.filter(({item}) => item === undefined).map(({key}) => key));
		let hasReleased = false;
		for (const key of this.listPresumed().filter(name => stored.has(name) && !presumed.includes(name))) {
			if (removedKeys.has(key)) {
				this.entries.set(key, {...this.entries.get(key)!, isPresumed: false});
			} else {
				this.entries.delete(key);
				hasReleased = true;
			}
		}

		return hasReleased;
	}

	/** Applies a change received from the store, or found by reading it again; `known` is the item in effect until now. */
	applyChange(change: StoredValue | RemovedKey, known: StoredItem | undefined): void {
		const isOlder = known !== undefined && !('isRemoved' in change) && this.comparator.isOlder(known, change) === true;
		if (isOlder) {
			this.retain(known);
		} else {
			this.entries.delete(change.key);
		}
	}

	/** Extends the overrides that end before `until`, milliseconds. */
	extend(until: number): void {
		for (const [key, retained] of this.entries) {
			if (retained.until < until) {
				this.entries.set(key, {...retained, until});
			}
		}
	}

	/** Drops expired overrides; `dropped` are their items. */
	expire(now: number): {readonly hasChanged: boolean; readonly dropped: readonly StoredItem[]} {
		const due = [...this.entries].filter(([, {until}]) => until <= now);
		for (const [key] of due) {
			this.entries.delete(key);
		}

		return {hasChanged: due.length > 0, dropped: due.flatMap(([, {item}]) => item ?? [])};
	}

	/**
	 * Drops retained items that are known to have been removed after they were written.
	 *
	 * @returns whether any was dropped
	 */
	releaseRemoved(removed: Iterable<{readonly item: StoredItem}>): boolean {
		let hasReleased = false;
		for (const {item: removedItem} of removed) {
			const known = this.entries.get(removedItem.key)?.item;
			const isNewer = known !== undefined && (known.era > removedItem.era || (known.era === removedItem.era && known.revision > removedItem.revision));
			if (known && !isNewer && this.comparator.isSameIncarnation(removedItem, known)) {
				this.entries.delete(removedItem.key);
				hasReleased = true;
			}
		}

		return hasReleased;
	}

	/** The retained items in the form sent to peers. */
	list(stored: Items, now: number): NonNullable<ViewSnapshot['retained']> {
		return [...this.entries].filter(([, {isPresumed}]) => !isPresumed).map(([key, {item, until}]) => ({
			key,
			...(item && {item}),
			...(Number.isFinite(until) && {leftMs: until - now}),
			...(stored.has(key) && {storedRevision: stored.get(key)!.revision}),
		}));
	}

	/**
	 * Adds a peer's retained items where this process knows the same stored revision of the key.
	 *
	 * @returns whether any was added
	 */
	mergeFromPeer(offered: NonNullable<ViewSnapshot['retained']>, stored: Items, now: number): boolean {
		const isKnown = (key: string): boolean => this.entries.has(key) && !this.entries.get(key)?.isPresumed;
		const unchanged = offered.filter(({key, storedRevision}) => !isKnown(key) && stored.get(key)?.revision === storedRevision);
		for (const {key, item, leftMs} of unchanged) {
			this.entries.set(key, {item, until: now + (leftMs ?? Number.POSITIVE_INFINITY)});
		}

		return unchanged.length > 0;
	}

	/*
	 * Whether the restored store holds again what was removed. Revisions of different eras cannot be compared, so what was only dropped counts
	 * as written again if the store before held nothing of the key up to a lower revision, and its contents are not older.
	 */
	private isFromBackup(offered: StoredItem, {removed, formerRevision}: Rollback): boolean {
		const known = removed.get(offered.key);
		if (!known || offered.revision > known.item.revision || !this.comparator.isSameIncarnation(known.item, offered)) {
			return false;
		}

		const isWrittenAgain = offered.revision > formerRevision && this.comparator.isOlder(known.item, offered) !== true;
		return !known.isDropped || !isWrittenAgain;
	}

	/* Keeps ignoring the keys that were ignored before and that the store holds unchanged: it may have been restored from the same copy. */
	private keepRemovals(formerEntries: ReadonlyMap<string, Retained>, {stored, former}: Rollback, now: number): void {
		for (const [key, retained] of formerEntries) {
			const isUnchanged = stored.has(key) && stored.get(key)?.revision === former.get(key)?.revision;
			if (!retained.item && isUnchanged && !this.entries.has(key)) {
				this.entries.set(key, {...retained, until: Math.max(retained.until, now + rewriteWindowMs)});
			}
		}
	}

	/*
	 * Ignores registrations in the restored store that were written before this process recorded removals, and that its view before did not
	 * have. Those of a revision that the copy certainly includes were removed. A later one was either removed too, or written since the
	 * restore under a revision that was assigned again.
	 */
	private ignoreUnrecordedRemovals({before, stored, removed, former, recordedFrom}: Rollback, now: number): void {
		const copyRevision = findCopyRevision(former, stored);
		for (const [key, offered] of stored) {
			const isRecorded = former.has(key) || before.has(key) || removed.get(key) !== undefined;
			if (isRecorded || offered.revision >= recordedFrom || !this.comparator.isSameIncarnation(offered, offered)) {
				continue;
			}

			const isPresumed = offered.revision > copyRevision;
			this.entries.set(key, {item: undefined, until: now + (isPresumed ? rewriteWindowMs : registrationExpiryMs), isPresumed});
		}
	}

	private findRetentionEnd(known: StoredItem, offered: StoredItem | undefined, now: number): number | undefined {
		const isOlder = this.comparator.isOlder(known, offered);
		if (isOlder === true) {
			return Number.POSITIVE_INFINITY;
		}

		if (offered === undefined) {
			return now + rewriteWindowMs;
		}

		// If the contents do not show which is older, a lower revision usually means an older write: writes of the new era soon have higher ones.
		const isLikelyOlder = isOlder === undefined && offered.value !== known.value && offered.revision < known.revision;
		return isLikelyOlder ? now + rewriteWindowMs : undefined;
	}
}
