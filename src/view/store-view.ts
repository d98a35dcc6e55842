import {isLater} from '../key-value/is-later.js';
import {type RemovedKey} from '../key-value/removed-key.js';
import {type Revision} from '../key-value/revision.js';
import {type StoredValue} from '../key-value/stored-value.js';
import {describeRetained} from './describe-retained.js';
import {describeRevision} from './describe-revision.js';
import {type ItemComparator} from './item-comparator.js';
import {StoreAvailability} from './store-availability.js';
import {StoreFollower} from './store-follower.js';
import {type StoredItem} from './stored-item.js';
import {ViewItems} from './view-items.js';
import {type ViewSnapshot} from './view-snapshot.js';

type ViewOptions = ConstructorParameters<typeof StoreFollower>[0] & {
	/** Decides which of two items is more recent, whether they come from the store or a peer. */
	readonly comparator: ItemComparator;
	/** Called after a change, with the present time, milliseconds. */
	readonly onChange: (now: number) => void;
};

const toItems = (items: readonly StoredValue[], era: number): StoredItem[] => items.map(item => ({...item, era}));

/**
 * This process's replica of the store's keys under one prefix. It is updated by long polls, and by the snapshots of peers while the store
 * cannot be reached. It moves forward in eras, and in revisions within an era. In a new era it starts from a full read of the store, and
 * retains values that the restored store lacks or has in an older version until they are written again.
 */
export class StoreView {
	private readonly items: ViewItems;
	private readonly availability: StoreAvailability;
	private readonly follower: StoreFollower;
	private revision: Revision = {era: 0, number: 0};
	/** Revision since which removals are recorded, here or by a peer before; undefined until the view is filled. */
	private recordedFrom: Revision | undefined;
	/** Revision of the first view after the last outage; undefined until there is one. */
	private returnedAt: Revision | undefined;
	private dropped: readonly StoredItem[] = [];
	/** When the view was last known to be up to date, by own calls or a peer's, milliseconds. */
	private upToDateAt = Number.NEGATIVE_INFINITY;
	private staleAnswers = 0;

	constructor(private readonly options: ViewOptions) {
		this.items = new ViewItems(options.comparator, options.log);
		this.availability = new StoreAvailability(options.log);
		this.follower = new StoreFollower(options, {
			getRevision: () => this.revision,
			isStoreUnavailable: () => this.isStoreUnavailable,
			noteAnswer: now => {
				this.noteAnswer(now);
			},
			noteFailure: (message, now) => {
				this.noteFailure(message, now);
			},
			noteStaleAnswer: answer => {
				this.noteStaleAnswer(answer);
			},
			takeAll: (items, listed, now) => {
				this.takeAll(items, listed, now);
			},
			takeChanges: (changes, asOf, now) => {
				this.takeChanges(changes, asOf, now);
			},
		});
	}

	/** Revision of the store that the view is known to include. */
	get asOf(): Revision {
		return this.revision;
	}

	/** Number of answers that were ignored because they were older than the view. */
	get droppedAnswers(): number {
		return this.staleAnswers;
	}

	/** Number of keys whose retained value overrides the store's. */
	get retainedKeys(): number {
		return this.items.retainedKeys;
	}

	/** Whether the view has been filled, by the store or a peer. */
	get isLoaded(): boolean {
		return this.revision.number > 0;
	}

	/** Whether the last own call to the store failed. */
	get isStoreUnavailable(): boolean {
		return this.availability.isUnavailable;
	}

	/** Whether registrations are ignored that may have been removed, which a peer may know. */
	get hasPresumed(): boolean {
		return this.items.hasPresumed;
	}

	/** Time since the view was last known to be up to date, milliseconds. */
	getAge(now: number): number {
		return now - this.upToDateAt;
	}

	/** Time for which the current call to the store has been waiting for its answer, milliseconds; 0 between two calls. */
	getCallMs(now: number): number {
		return this.follower.getCallMs(now);
	}

	/** Until when keys may be written again that expired during an outage of the store, or that a restored store lacks, milliseconds. */
	get mayReturnUntil(): number {
		return this.availability.mayReturnUntil;
	}

	get(key: string): StoredItem | undefined {
		return this.items.get(key);
	}

	/** The store's own item for a key, ignoring retained ones; conditional writes refer to it. */
	getStored(key: string): StoredItem | undefined {
		return this.items.getStored(key);
	}

	/**
	 * Items dropped by the present change that are not expected to be written again: those that were not after a restore, in time, and those
	 * that were removed after they had been written since the last outage.
	 */
	listDropped(): readonly StoredItem[] {
		return this.dropped;
	}

	/** Items whose keys start with `prefix`, in order of writing. */
	list(prefix: string): StoredItem[] {
		return this.items.list(prefix);
	}

	/** Follows the store until `close`. */
	async run(): Promise<void> {
		await this.follower.run();
	}

	/** Ends `run` after the current call. */
	close(): void {
		this.follower.close();
	}

	/** Drops retained items whose time is over, and checks the current call; `now` in milliseconds. */
	tick(now: number): void {
		this.checkCall(now);
		// Nothing can be written again while the store does not answer.
		if (this.availability.isAway(now)) {
			return;
		}

		const {hasChanged, dropped} = this.items.expire(now);
		if (hasChanged) {
			this.reportChange(dropped, now);
		}
	}

	/** Calls the store again on a new connection if the current call is overdue, the process was paused, or silence was noted; `now` in milliseconds. */
	checkCall(now: number): void {
		this.follower.checkCall(now);
	}

	/** Notes that open connections may be silent: the store is called again on a new one, with the next check. */
	noteSilence(reason: string): void {
		this.follower.noteSilence(reason);
	}

	/** Records that a peer's view, of this age in milliseconds, was up to date: the store answers others, even if not this process. */
	notePeerAge(ageMs: number, now: number): void {
		if (this.availability.notePeerAnswer(now - ageMs)) {
			this.noteReturn();
		}
	}

	/** Records an era of the store reported by a peer. A new one aborts the current long poll, which the restored store may never answer. */
	noteEra(era: number): void {
		if (this.isLoaded && era > this.revision.era) {
			this.follower.requireFullRead();
		}
	}

	/** The view in the form sent to peers. */
	getSnapshot(now: number): ViewSnapshot {
		return {
			asOf: this.revision,
			ageMs: this.getAge(now),
			...(this.recordedFrom && {recordedFrom: this.recordedFrom}),
			...this.items.getSnapshot(now),
		};
	}

	/** Merges a peer's view: all of it if it is newer, and single items that are newer. Returns whether anything changed. */
	mergeSnapshot(snapshot: ViewSnapshot): boolean {
		const now = this.options.clock();
		const hasReleased = this.items.mergeRemoved(snapshot, now);
		this.notePeerAge(snapshot.ageMs, now);
		const isNewer = isLater(snapshot.asOf, this.revision);
		const removed = isNewer ? this.replace(toItems(snapshot.items, snapshot.asOf.era), snapshot.asOf, now) : [];
		if (isNewer) {
			this.follower.noteFullRead();
			this.upToDateAt = Math.max(this.upToDateAt, now - snapshot.ageMs);
		}

		const isSameEra = snapshot.asOf.era === this.revision.era;
		const hasAdded = isSameEra && this.items.mergeRetained(snapshot, now);
		const hasDecided = this.mergePresumed(snapshot, now);
		const hasRetained = this.items.retainNewer(snapshot);
		const hasChanged = hasReleased || isNewer || hasAdded || hasDecided || hasRetained;
		if (hasChanged) {
			this.reportChange(removed, now);
		}

		return hasChanged;
	}

	/* A view that has been kept since before the store was restored knows which registrations were removed; one that started later does not. */
	private mergePresumed(snapshot: ViewSnapshot, now: number): boolean {
		const {era} = this.revision;
		const {recordedFrom: peerFrom, asOf} = snapshot;
		if (!peerFrom) {
			return false;
		}

		const isNew = this.recordedFrom === undefined || this.recordedFrom.era === era;
		const mayDecide = asOf.era === era && peerFrom.era < era;
		// The peer's records of removals have been merged, so that they reach back here as far as there.
		this.recordedFrom = this.recordedFrom && isLater(peerFrom, this.recordedFrom) ? this.recordedFrom : peerFrom;
		return mayDecide && (isNew ? this.items.adoptPresumed(snapshot, now) : this.items.confirmPresumed(snapshot));
	}

	private takeAll(items: readonly StoredValue[], listed: Revision, now: number): void {
		const removed = this.replace(toItems(items, listed.era), listed, now);
		this.upToDateAt = now;
		this.reportChange(removed, now);
	}

	/* Returns the items that were removed after they had been written since the last outage. */
	private replace(items: readonly StoredItem[], asOf: Revision, now: number): readonly StoredItem[] {
		const isRestored = this.isLoaded && (asOf.era !== this.revision.era || asOf.number < this.revision.number);
		const removed = this.items.replace(items, {isRestored, recordedFrom: this.recordedFrom?.number ?? 0, formerRevision: this.revision.number}, now);
		if (isRestored) {
			this.availability.noteRollback(now);
			this.returnedAt = undefined;
			const retained = describeRetained(this.items.getSnapshot(now).retained ?? []);
			this.options.log(`store was restored from a backup: ${describeRevision(asOf)}, this view was at ${describeRevision(this.revision)}${retained}`);
		}

		this.revision = asOf;
		this.recordedFrom ??= asOf;
		return this.takeDeliberate(removed);
	}

	private takeChanges(changes: ReadonlyArray<StoredValue | RemovedKey>, asOf: number, now: number): void {
		const {era, number} = this.revision;
		const newer = changes.filter(({revision}) => revision > number).map(change => 'isRemoved' in change ? change : {...change, era});
		const removed = this.items.apply(newer, now);
		this.revision = {era, number: Math.max(number, asOf)};
		const deliberate = this.takeDeliberate(removed);
		if (newer.length > 0) {
			this.reportChange(deliberate, now);
		}

		this.upToDateAt = now;
	}

	private reportChange(dropped: readonly StoredItem[], now: number): void {
		this.dropped = dropped;
		this.options.onChange(now);
		this.dropped = [];
	}

	/* A key that was written since the store is back was not removed because its writer could not reach the store. */
	private takeDeliberate(removed: readonly StoredItem[]): readonly StoredItem[] {
		const {returnedAt} = this;
		this.returnedAt ??= this.revision;
		return returnedAt ? removed.filter(({era, revision}) => isLater({era, number: revision}, returnedAt)) : [];
	}

	private noteReturn(): void {
		this.returnedAt = undefined;
		this.items.extendRetention(this.availability.mayReturnUntil);
	}

	private noteAnswer(now: number): void {
		if (this.availability.noteAnswer(now)) {
			this.noteReturn();
		}
	}

	private noteFailure(message: string, now: number): void {
		this.availability.noteFailure(`${message}; continuing with ${describeRevision(this.revision)}`, now);
	}

	private noteStaleAnswer(answer: Revision): void {
		this.staleAnswers++;
		this.options.log(`ignored an answer of ${describeRevision(answer)}: this view is at ${describeRevision(this.revision)}`);
	}
}
