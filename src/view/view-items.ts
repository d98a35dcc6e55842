import {type RemovedKey} from '../key-value/removed-key.js';
import {type StoredValue} from '../key-value/stored-value.js';
import {type ItemGuard} from './item-guard.js';
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

	constructor(private readonly guard: ItemGuard, private readonly log: (message: string) => void) {
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
			this.retained.restore({before: this.current, stored: this.stored, removed: this.removed}, now);
		} else {
			this.compare(former, now);
		}

		this.refresh();
	}

	/** Takes over changes that the store tells. */
	apply(changes: ReadonlyArray<StoredItem | RemovedKey>, now: number): void {
		for (const change of changes) {
			this.applyOne(change, now);
		}

		this.refresh();
	}

	/** Ends what was kept for long enough; gives whether anything was. */
	expire(now: number): boolean {
		const {hasChanged, dropped} = this.retained.expire(now);
		for (const item of dropped.filter(({key}) => !this.stored.has(key))) {
			this.log(`${item.key} is gone: nobody has written it again`);
			this.removed.note(item, now);
		}

		this.removed.prune(now);
		this.refresh();
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
		const hasEnded = this.retained.end(unknown);
		this.refresh();
		return hasEnded;
	}

	/** Takes over what a peer keeps against the same answers of the store; gives whether anything was. */
	adoptRetained({retained}: SnapshotItems, now: number): boolean {
		const offered = (retained ?? []).filter(({item}) => item === undefined || !this.removed.hasEnded(item));
		const hasAdopted = this.retained.adopt(offered, this.stored, now);
		this.refresh();
		return hasAdopted;
	}

	/** Keeps items that a peer knows to be newer than those here, whatever era its view is of; gives whether there are any. */
	keepNewer({items, retained}: SnapshotItems): boolean {
		const offered = [...items, ...(retained ?? []).flatMap(({item}) => item ?? [])];
		const newer = offered.filter(item => this.guard.isOlder(item, this.current.get(item.key)) === true);
		for (const item of newer) {
			this.log(`a peer knows a newer ${item.key}`);
			this.retained.keep(item);
		}

		this.refresh();
		return newer.length > 0;
	}

	/* Within an era what differs was written or removed since. */
	private compare(former: ReadonlyMap<string, StoredItem>, now: number): void {
		for (const [key, item] of this.stored) {
			if (item.revision !== former.get(key)?.revision) {
				this.retained.take(item, this.current.get(key));
			}
		}

		for (const [key, item] of former) {
			if (!this.stored.has(key)) {
				this.removed.note(item, now);
				this.retained.take({key, revision: item.revision, isRemoved: true}, item);
			}
		}
	}

	private applyOne(change: StoredItem | RemovedKey, now: number): void {
		const {key, revision} = change;
		const retained = this.retained.get(key);
		const known = retained ? retained.item : this.stored.get(key);
		this.retained.take(change, known);
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

	private refresh(): void {
		this.current = this.retained.size > 0 ? this.retained.merge(this.stored) : this.stored;
	}
}
