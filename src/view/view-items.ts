import {type RemovedKey} from '../key-value/removed-key.js';
import {type StoredValue} from '../key-value/stored-value.js';
import {type ItemComparator} from './item-comparator.js';
import {RemovedItems} from './removed-items.js';
import {RetainedItems} from './retained-items.js';
import {type StoredItem} from './stored-item.js';
import {type ViewSnapshot} from './view-snapshot.js';

type SnapshotItems = Pick<ViewSnapshot, 'items' | 'retained' | 'removed' | 'presumed'>;
type Replacement = {
	/** Whether the store was restored from a backup since the last read. */
	readonly isRestored: boolean;
	/** Revision since which removals are recorded. */
	readonly recordedFrom: number;
	/** Revision up to which the former items were complete. */
	readonly formerRevision: number;
};

/** The items of a view: those of the store, and those that override them after the store was restored from a backup. */
export class ViewItems {
	private stored = new Map<string, StoredItem>();
	private readonly retained: RetainedItems;
	private readonly removed: RemovedItems;
	/** The items in effect: the stored ones, overridden by the retained ones. */
	private current: ReadonlyMap<string, StoredItem> = this.stored;

	constructor(private readonly comparator: ItemComparator, private readonly log: (message: string) => void) {
		this.retained = new RetainedItems(comparator);
		this.removed = new RemovedItems(comparator);
	}

	/** Number of keys whose retained value overrides the store's. */
	get retainedKeys(): number {
		return this.retained.size;
	}

	get(key: string): StoredItem | undefined {
		return this.current.get(key);
	}

	/** The store's own item for a key, ignoring retained ones. */
	getStored(key: string): StoredItem | undefined {
		return this.stored.get(key);
	}

	/** Items whose keys start with `prefix`, in order of writing. */
	list(prefix: string): StoredItem[] {
		return [...this.current.values()]
			.filter(({key}) => key.startsWith(prefix))
			.toSorted((one, other) => one.era - other.era || one.revision - other.revision);
	}

	/** Replaces all stored items; returns those that were removed since the last read, unless the store was restored. */
	replace(items: readonly StoredItem[], {isRestored, recordedFrom, formerRevision}: Replacement, now: number): readonly StoredItem[] {
		const former = this.stored;
		this.stored = new Map(items.map(item => [item.key, item]));
		if (isRestored) {
			this.retained.rebuild({
				before: this.current, stored: this.stored, removed: this.removed, former, recordedFrom, formerRevision,
			}, now);
		} else {
			this.detectChanges(former, now);
		}

		this.updateCurrent();
		return isRestored ? [] : [...former.values()].filter(({key}) => !this.stored.has(key));
	}

	/** Applies changes received from the store; returns the items that were removed. */
	apply(changes: ReadonlyArray<StoredItem | RemovedKey>, now: number): readonly StoredItem[] {
		const removed = changes.flatMap(change => this.applyOne(change, now) ?? []);
		this.updateCurrent();
		return removed;
	}

	/** Keeps overrides until `until` at least, milliseconds. */
	extendRetention(until: number): void {
		this.retained.extend(until);
	}

	/** Drops expired overrides; `dropped` are the items that are no longer in effect. */
	expire(now: number): {readonly hasChanged: boolean; readonly dropped: readonly StoredItem[]} {
		const {hasChanged, dropped: ended} = this.retained.expire(now);
		const dropped = ended.filter(({key}) => !this.stored.has(key));
		for (const item of dropped) {
			this.log(`${item.key} dropped: it was not written again in time`);
			this.removed.noteDropped(item, now);
		}

		this.removed.prune(now);
		this.updateCurrent();
		return {hasChanged, dropped};
	}

	/** The items in the form sent to peers. */
	getSnapshot(now: number): SnapshotItems {
		const retained = this.retained.list(this.stored, now);
		const removed = this.removed.list(now);
		const presumed = this.retained.listPresumed();
		return {
			items: [...this.stored.values()],
			...(retained.length > 0 && {retained}),
			...(removed.length > 0 && {removed}),
			...(presumed.length > 0 && {presumed}),
		};
	}

	/** Whether registrations are ignored that may have been removed, which a peer may know. */
	get hasPresumed(): boolean {
		return this.retained.listPresumed().length > 0;
	}

	/** Adopts a peer's presumed removals; returns whether there are any. */
	adoptPresumed({presumed = [], items}: SnapshotItems, now: number): boolean {
		const hasAdopted = this.retained.adoptPresumed({presumed, items}, this.stored, now);
		this.updateCurrent();
		return hasAdopted;
	}

	/** Decides on presumed removals by the view of a peer that knows the store from before it was restored; returns whether any key is in use again. */
	confirmPresumed(snapshot: SnapshotItems): boolean {
		const hasReleased = this.retained.confirmPresumed(snapshot);
		this.updateCurrent();
		return hasReleased;
	}

	/** Adds a peer's removals; returns whether they ended any retained item. */
	mergeRemoved({removed}: SnapshotItems, now: number): boolean {
		const added = this.removed.merge(removed, this.stored, now);
		const hasReleased = this.retained.releaseRemoved(added);
		this.updateCurrent();
		return hasReleased;
	}

	/** Adds a peer's retained items that are based on the same stored revisions; returns whether any was added. */
	mergeRetained({retained}: SnapshotItems, now: number): boolean {
		const offered = (retained ?? []).filter(({item}) => item === undefined || !this.removed.hasRemoved(item));
		const hasAdded = this.retained.mergeFromPeer(offered, this.stored, now);
		this.updateCurrent();
		return hasAdded;
	}

	/** Retains a peer's items that are newer than those in effect here, in whatever era its view is; returns whether there are any. */
	retainNewer({items, retained}: SnapshotItems): boolean {
		const offered = [...items, ...(retained ?? []).flatMap(({item}) => item ?? [])];
		const newer = offered.filter(item => this.comparator.isOlder(item, this.current.get(item.key)) === true);
		for (const item of newer) {
			this.log(`a peer has a newer ${item.key}`);
			this.retained.retain(item);
		}

		this.updateCurrent();
		return newer.length > 0;
	}

	/* Within an era, a difference between two reads means a write or a removal in between. */
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

	/* Returns the item that the change removes. */
	private applyOne(change: StoredItem | RemovedKey, now: number): StoredItem | undefined {
		const {key, revision} = change;
		const retained = this.retained.get(key);
		const known = retained ? retained.item : this.stored.get(key);
		this.retained.applyChange(change, known);
		if (this.retained.get(key)) {
			this.log(`ignored ${key} of revision ${revision}: it is older than the known value`);
		}

		if ('isRemoved' in change) {
			const item = known ?? this.stored.get(key);
			this.stored.delete(key);
			if (item) {
				this.removed.note(item, now);
			}

			return item;
		}

		this.stored.set(key, change);
		return undefined;
	}

	private updateCurrent(): void {
		this.current = this.retained.size > 0 ? this.retained.overlay(this.stored) : this.stored;
	}
}
