import {type RemovedKey} from '../key-value/removed-key.js';
import {type StoredValue} from '../key-value/stored-value.js';
import {type ItemComparator} from './item-comparator.js';
import {RemovedItems} from './removed-items.js';
import {RetainedItems} from './retained-items.js';
import {type StoredItem} from './stored-item.js';
import {type ViewSnapshot} from './view-snapshot.js';

type SnapshotItems = Pick<ViewSnapshot, 'items' | 'retained' | 'removed'>;

/** What a view holds: what the store does, and what counts against it since the store has come back from a copy. */
export class ViewItems {
	private stored = new Map<string, StoredItem>();
	private readonly retained: RetainedItems;
	private readonly removed: RemovedItems;
	/** What counts: what is stored but for what is retained. */
	private current: ReadonlyMap<string, StoredItem> = this.stored;

	constructor(private readonly guard: ItemComparator, private readonly log: (message: string) => void) {
		this.retained = new RetainedItems(guard);
		this.removed = new RemovedItems(guard);
	}

	/** Keys on which the view goes on with what it knew against what the store holds. */
	get retainedKeys(): number {
		return this.retained.size;
	}

	get(key: string): StoredItem | undefined {
		return this.current.get(key);
	}

	/** What the store itself holds under a key. */
	getStored(key: string): StoredItem | undefined {
		return this.stored.get(key);
	}

	/** Items whose keys start with `prefix`, the one written last at the end. */
	list(prefix: string): StoredItem[] {
		return [...this.current.values()]
			.filter(({key}) => key.startsWith(prefix))
			.toSorted((one, other) => one.era - other.era || one.revision - other.revision);
	}

	/**
	 * Takes over all that the store holds.
	 *
	 * @param isRestored - whether the store has come back from a copy since
	 */
	replace(items: readonly StoredItem[], isRestored: boolean, now: number): void {
		const former = this.stored;
		this.stored = new Map(items.map(item => [item.key, item]));
		if (isRestored) {
			this.retained.rebuild({before: this.current, stored: this.stored, removed: this.removed}, now);
		} else {
			this.detectChanges(former, now);
		}

		this.updateCurrent();
	}

	/** Takes over changes that the store tells. */
	apply(changes: ReadonlyArray<StoredItem | RemovedKey>, now: number): void {
		for (const change of changes) {
			this.applyOne(change, now);
		}

		this.updateCurrent();
	}

	/** Ends what was kept for long enough; gives whether anything was. */
	expire(now: number): boolean {
		const {hasChanged, dropped} = this.retained.expire(now);
		for (const item of dropped.filter(({key}) => !this.stored.has(key))) {
			this.log(`${item.key} is gone: nobody has written it again`);
			this.removed.note(item, now);
		}

		this.removed.prune(now);
		this.updateCurrent();
		return hasChanged;
	}

	/** What a peer may take over. */
	getSnapshot(now: number): SnapshotItems {
		const retained = this.retained.list(this.stored, now);
		const removed = this.removed.list(now);
		return {items: [...this.stored.values()], ...(retained.length > 0 && {retained}), ...(removed.length > 0 && {removed})};
	}

	/** Learns what a peer knows to have been removed; gives whether that ends anything that was kept. */
	mergeRemoved({removed}: SnapshotItems, now: number): boolean {
		const unknown = this.removed.merge(removed, this.stored, now);
		const hasEnded = this.retained.releaseRemoved(unknown);
		this.updateCurrent();
		return hasEnded;
	}

	/** Takes over what a peer keeps against the same answers of the store; gives whether anything was. */
	mergeRetained({retained}: SnapshotItems, now: number): boolean {
		const offered = (retained ?? []).filter(({item}) => item === undefined || !this.removed.hasRemoved(item));
		const hasAdopted = this.retained.mergeFromPeer(offered, this.stored, now);
		this.updateCurrent();
		return hasAdopted;
	}

	/** Keeps items that a peer knows to be newer than those here, whatever era its view is of; gives whether there are any. */
	retainNewer({items, retained}: SnapshotItems): boolean {
		const offered = [...items, ...(retained ?? []).flatMap(({item}) => item ?? [])];
		const newer = offered.filter(item => this.guard.isOlder(item, this.current.get(item.key)) === true);
		for (const item of newer) {
			this.log(`a peer knows a newer ${item.key}`);
			this.retained.retain(item);
		}

		this.updateCurrent();
		return newer.length > 0;
	}

	/* Within an era what differs was written or removed since. */
	private detectChanges(former: ReadonlyMap<string, StoredItem>, now: number): void {
		for (const [key, item] of this.stored) {
			if (item.revision !== former.get(key)?.revision) {
				this.retained.applyChange(item, this.current.get(key));
			}
		}

		for (const [key, item] of former) {
			if (!this.stored.has(key)) {
				this.removed.note(item, now);
				this.retained.applyChange({key, revision: item.revision, isRemoved: true}, item);
			}
		}
	}

	private applyOne(change: StoredItem | RemovedKey, now: number): void {
		const {key, revision} = change;
		const retained = this.retained.get(key);
		const known = retained ? retained.item : this.stored.get(key);
		this.retained.applyChange(change, known);
		if (this.retained.get(key)) {
			this.log(`${key} as written at revision ${revision} is older than what is known, and does not count`);
		}

		if ('isRemoved' in change) {
			const item = known ?? this.stored.get(key);
			this.stored.delete(key);
			if (item) {
				this.removed.note(item, now);
			}
		} else {
			this.stored.set(key, change);
		}
	}

	private updateCurrent(): void {
		this.current = this.retained.size > 0 ? this.retained.overlay(this.stored) : this.stored;
	}
}
