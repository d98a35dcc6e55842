import {type ItemComparator} from './item-comparator.js';
import {type StoredItem} from './stored-item.js';
import {type ViewSnapshot} from './view-snapshot.js';

type Removed = {
	readonly item: StoredItem;
	readonly at: number;
	/** Whether no removal was seen: the restored store lacked the item, and it was not written again in time. */
	readonly isDropped?: boolean;
};

/** How long a removal is remembered, milliseconds: a store restored from a backup may hold the item again. */
const retentionMs = 60_000;

/** Recently removed items, with their last known values. */
export class RemovedItems {
	private readonly entries = new Map<string, Removed>();

	constructor(private readonly comparator: ItemComparator) {}

	get(key: string): Removed | undefined {
		return this.entries.get(key);
	}

	/** Records the removal of an item; `now` in milliseconds. */
	note(item: StoredItem, now: number): void {
		this.entries.set(item.key, {item, at: now});
	}

	/** Records that an item is treated as removed, since it was not written again in time; `now` in milliseconds. */
	noteDropped(item: StoredItem, now: number): void {
		this.entries.set(item.key, {item, at: now, isDropped: true});
	}

	/** Whether an item describes something that is known to have been removed. */
	hasRemoved(item: StoredItem): boolean {
		const removed = this.entries.get(item.key)?.item;
		return removed !== undefined && this.comparator.isSameIncarnation(removed, item);
	}

	values(): Iterable<Removed> {
		return this.entries.values();
	}

	/** Removals that the comparator recognises if a restored store holds the items again, in the form sent to peers. */
	list(now: number): NonNullable<ViewSnapshot['removed']> {
		return [...this.entries.values()].filter(({item}) => this.comparator.isSameIncarnation(item, item)).map(({item, at, isDropped}) => ({item, agoMs: now - at, ...(isDropped && {isDropped})}));
	}

	/**
	 * Adds the removals that a peer knows.
	 *
	 * @param stored - the store's items as this process knows them; a removal older than a key's last write is ignored
	 * @returns the removals that were new
	 */
	merge(offered: ViewSnapshot['removed'], stored: ReadonlyMap<string, StoredItem>, now: number): readonly Removed[] {
		const added = (offered ?? [])
			.filter(({item: {key, revision}}) => !this.entries.has(key) && (stored.get(key)?.revision ?? 0) <= revision)
			.map(({item, agoMs, isDropped}) => ({item, at: now - agoMs, isDropped}));
		for (const removed of added) {
			this.entries.set(removed.item.key, removed);
		}

		return added;
	}

	/** Deletes removals older than the retention period. */
	prune(now: number): void {
		for (const [key, {at}] of this.entries) {
			if (now - at > retentionMs) {
				this.entries.delete(key);
			}
		}
	}
}
