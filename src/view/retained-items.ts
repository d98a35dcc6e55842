import {type RemovedKey} from '../key-value/removed-key.js';
import {type StoredValue} from '../key-value/stored-value.js';
import {type ItemComparator} from './item-comparator.js';
import {rewriteWindowMs} from './rewrite-window-ms.js';
import {type RemovedItems} from './removed-items.js';
import {type StoredItem} from './stored-item.js';
import {type ViewSnapshot} from './view-snapshot.js';

type Items = ReadonlyMap<string, StoredItem>;

type Retained = {
	/** What counts instead of what the store holds; undefined where the key counts as removed. */
	readonly item: StoredItem | undefined;
	/** When what the store holds counts after all, milliseconds; infinite where only something newer ends it. */
	readonly until: number;
};

type Rollback = {
	/** What counted before, what the store holds now, and what was removed lately. */
	readonly before: Items;
	readonly stored: Items;
	readonly removed: RemovedItems;
};

/** A registration that nobody renews has lapsed after this time, milliseconds; one that a copy holds again is not believed before. */
const registrationExpiryMs = 10_000;

/**
 * Keys on which a process goes on with what it knew against what the store holds, since the store has come back from an older copy, or
 * holds something that was replaced already.
 */
export class RetainedItems {
	private readonly entries = new Map<string, Retained>();

	constructor(private readonly guard: ItemComparator) {}

	get size(): number {
		return this.entries.size;
	}

	get(key: string): Retained | undefined {
		return this.entries.get(key);
	}

	/** Keeps an item until something newer is written. */
	retain(item: StoredItem): void {
		this.entries.set(item.key, {item, until: Number.POSITIVE_INFINITY});
	}

	/** What counts, by key. */
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

	/** Decides anew what is kept, since the store has come back from a copy. */
	rebuild({before, stored, removed}: Rollback, now: number): void {
		this.entries.clear();
		for (const known of before.values()) {
			const until = this.findRetentionEnd(known, stored.get(known.key), now);
			if (until !== undefined) {
				this.entries.set(known.key, {item: known, until});
			}
		}

		this.releaseRemoved(removed.values());

		for (const [key, offered] of stored) {
			const ended = before.has(key) ? undefined : removed.get(key)?.item;
			const isFromBackup = ended !== undefined && offered.revision <= ended.revision;
			if (isFromBackup && this.guard.isSameIncarnation(ended, offered)) {
				this.entries.set(key, {item: undefined, until: now + registrationExpiryMs});
			}
		}
	}

	/** Takes a change that the store tells, or finds when it is read again; `known` is what counted until now. */
	applyChange(change: StoredValue | RemovedKey, known: StoredItem | undefined): void {
		const isOlder = known !== undefined && !('isRemoved' in change) && this.guard.isOlder(known, change) === true;
		if (isOlder) {
			this.retain(known);
		} else {
			this.entries.delete(change.key);
		}
	}

	/** Ends what was kept for long enough; gives the items that no longer count. */
	expire(now: number): {readonly hasChanged: boolean; readonly dropped: readonly StoredItem[]} {
		const due = [...this.entries].filter(([, {until}]) => until <= now);
		for (const [key] of due) {
			this.entries.delete(key);
		}

		return {hasChanged: due.length > 0, dropped: due.flatMap(([, {item}]) => item ?? [])};
	}

	/**
	 * Keeps no longer what is known to have been removed after it was written.
	 *
	 * @returns whether anything was kept
	 */
	releaseRemoved(removed: Iterable<{readonly item: StoredItem}>): boolean {
		let hasEnded = false;
		for (const {item: ended} of removed) {
			const known = this.entries.get(ended.key)?.item;
			const isNewer = known !== undefined && (known.era > ended.era || (known.era === ended.era && known.revision > ended.revision));
			if (known && !isNewer && this.guard.isSameIncarnation(ended, known)) {
				this.entries.delete(ended.key);
				hasEnded = true;
			}
		}

		return hasEnded;
	}

	/** What is kept, as a peer may take it over. */
	list(stored: Items, now: number): NonNullable<ViewSnapshot['retained']> {
		return [...this.entries].map(([key, {item, until}]) => ({
			key,
			...(item && {item}),
			...(Number.isFinite(until) && {leftMs: until - now}),
			...(stored.has(key) && {storedRevision: stored.get(key)!.revision}),
		}));
	}

	/**
	 * Takes over what a peer keeps against the same answers of the store, unless they are known to have changed.
	 *
	 * @returns whether anything was taken over
	 */
	mergeFromPeer(offered: NonNullable<ViewSnapshot['retained']>, stored: Items, now: number): boolean {
		const unchanged = offered.filter(({key, storedRevision}) => !this.entries.has(key) && stored.get(key)?.revision === storedRevision);
		for (const {key, item, leftMs} of unchanged) {
			this.entries.set(key, {item, until: now + (leftMs ?? Number.POSITIVE_INFINITY)});
		}

		return unchanged.length > 0;
	}

	private findRetentionEnd(known: StoredItem, offered: StoredItem | undefined, now: number): number | undefined {
		const isOlder = this.guard.isOlder(known, offered);
		if (isOlder === true) {
			return Number.POSITIVE_INFINITY;
		}

		if (offered === undefined) {
			return now + rewriteWindowMs;
		}

		// Where the items do not tell, the lower number is from before, as a rule; what is written in the new era soon has a higher one.
		const isLikelyOlder = isOlder === undefined && offered.value !== known.value && offered.revision < known.revision;
		return isLikelyOlder ? now + rewriteWindowMs : undefined;
	}
}
