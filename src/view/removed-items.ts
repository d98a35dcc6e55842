import {type ItemComparator} from './item-comparator.js';
import {type StoredItem} from './stored-item.js';
import {type ViewSnapshot} from './view-snapshot.js';

type Removed = {readonly item: StoredItem; readonly at: number};

/** What was removed is remembered for so long, milliseconds: a copy from which the store comes back may hold it again. */
const retentionMs = 60_000;

/** Items that were removed lately, as they were last known. */
export class RemovedItems {
	private readonly entries = new Map<string, Removed>();

	constructor(private readonly guard: ItemComparator) {}

	get(key: string): Removed | undefined {
		return this.entries.get(key);
	}

	/** Notes that an item has been removed. */
	note(item: StoredItem, now: number): void {
		this.entries.set(item.key, {item, at: now});
	}

	/** Whether an item stands for what is known to have been removed. */
	hasRemoved(item: StoredItem): boolean {
		const removed = this.entries.get(item.key)?.item;
		return removed !== undefined && this.guard.isSameIncarnation(removed, item);
	}

	/** All of them. */
	values(): Iterable<Removed> {
		return this.entries.values();
	}

	/** Those that would not be believed if a copy of the store held them again, as a peer may take them over. */
	list(now: number): NonNullable<ViewSnapshot['removed']> {
		return [...this.entries.values()].filter(({item}) => this.guard.isSameIncarnation(item, item)).map(({item, at}) => ({item, agoMs: now - at}));
	}

	/**
	 * Takes over what a peer knows to have been removed.
	 *
	 * @param stored - what the store holds, as far as this process knows: what was written after a removal is not removed
	 * @returns what was not known
	 */
	merge(offered: ViewSnapshot['removed'], stored: ReadonlyMap<string, StoredItem>, now: number): readonly Removed[] {
		const added = (offered ?? [])
			.filter(({item: {key, revision}}) => !this.entries.has(key) && (stored.get(key)?.revision ?? 0) <= revision)
			.map(({item, agoMs}) => ({item, at: now - agoMs}));
		for (const removed of added) {
			this.entries.set(removed.item.key, removed);
		}

		return added;
	}

	/** Forgets what is old. */
	prune(now: number): void {
		for (const [key, {at}] of this.entries) {
			if (now - at > retentionMs) {
				this.entries.delete(key);
			}
		}
	}
}
