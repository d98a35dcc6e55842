import {type ChangeFeed} from '../key-value/change-feed.js';
import {isLater} from '../key-value/is-later.js';
import {type RemovedKey} from '../key-value/removed-key.js';
import {type Revision} from '../key-value/revision.js';
import {type StoredValue} from '../key-value/stored-value.js';
import {type ItemComparator} from './item-comparator.js';
import {describeRetained} from './describe-retained.js';
import {StoreAvailability} from './store-availability.js';
import {type StoredItem} from './stored-item.js';
import {ViewItems} from './view-items.js';
import {type ViewSnapshot} from './view-snapshot.js';

type ViewOptions = {
	readonly feed: ChangeFeed;
	readonly prefix: string;
	/** Decides which of two items is more recent, whether they come from the store or a peer. */
	readonly comparator: ItemComparator;
	/**
	 * Mean wait of one call for changes, milliseconds. It varies by a quarter in either direction, so that the calls of all processes do not
	 * end at the same time: the first one that ends on a silent connection learns what the others miss.
	 */
	readonly waitMs: number;
	/**
	 * Maximum backoff between failed calls, milliseconds, with a jitter of half of it in either direction. It runs from the start of
	 * the failed call: calls that are refused at once are spaced by it, one that timed out is followed by the next almost at once.
	 */
	readonly maximumBackoffMs: number;
	readonly clock: () => number;
	readonly random: () => number;
	/** Waits for `ms` milliseconds; tests pass their own. */
	readonly delay: (ms: number) => Promise<void>;
	readonly log: (message: string) => void;
	/** Called after a change, with the present time, milliseconds. */
	readonly onChange: (now: number) => void;
	/** Called after changes that a silent connection had held back, which peers may still lack. */
	readonly onLateChange?: () => void;
};

/** Result of a call: it failed, confirmed the view as up to date (with or without changes), was of no use to it, or was given up. */
type CallResult = 'failed' | 'updated' | 'unused' | 'abandoned';
/** Why a call is ended before its answer. */
type Abort = Extract<CallResult, 'unused' | 'abandoned'>;

/**
 * Pause after an answer with changes, milliseconds, so that a burst of changes arrives in few answers: each answer is one call by every
 * entry. A change must be in force within two seconds.
 */
const batchingMs = 300;
/** Initial backoff after a failed or unused call, milliseconds; it doubles with each further one. */
const initialBackoffMs = 50;
/** Wait of a call for changes while the store may not answer, milliseconds, so that its recovery is noticed as soon. */
const unavailableWaitMs = 300;
/** Spread of the wait, as a share of it. */
const waitSpread = 0.25;
/** A call for changes that is unanswered for this time beyond its wait may be on a silent connection, milliseconds; a slow store takes 240. */
const overdueMs = 300;
/** A process whose periodic checks did not run for this time was paused, and its connections may be silent, milliseconds. */
const pauseMs = 1000;
/** Minimum interval between two calls that are made again because connections may be silent, milliseconds: longer than such a call may take. */
const reconnectIntervalMs = 1200;
const describe = ({era, number}: Revision): string => `era ${era} revision ${number}`;
const toItems = (items: readonly StoredValue[], era: number): StoredItem[] => items.map(item => ({...item, era}));

/**
 * This process's replica of the store's keys under one prefix. It is updated by long polls, and by the snapshots of peers while the store
 * cannot be reached. It moves forward in eras, and in revisions within an era. In a new era it starts from a full read of the store, and
 * retains values that the restored store lacks or has in an older version until they are written again.
 */
export class StoreView {
	private readonly items: ViewItems;
	private readonly availability: StoreAvailability;
	private revision: Revision = {era: 0, number: 0};
	/** Revision since which removals are recorded, here or by a peer before; undefined until the view is filled. */
	private recordedFrom: Revision | undefined;
	/** Revision of the first view after the last outage; undefined until there is one. */
	private returnedAt: Revision | undefined;
	private backoffMs = initialBackoffMs;
	private lastResult: CallResult | undefined;
	private dropped: readonly StoredItem[] = [];
	private needsFullRead = true;
	private isClosed = false;
	/** When the view was last known to be up to date, by own calls or a peer's, milliseconds. */
	private upToDateAt = Number.NEGATIVE_INFINITY;
	private staleAnswers = 0;
	private abortCall: ((result: Abort) => void) | undefined;
	/** When the current call for changes is overdue, milliseconds; undefined if there is none, or its timeout alone ends it. */
	private overdueAt: number | undefined;
	private checkedAt: number | undefined;
	private reconnectedAt = Number.NEGATIVE_INFINITY;
	/** Why connections may be silent, until the store is called on a new one. */
	private suspicion: string | undefined;
	/** Whether the next call for changes is to find out soon whether the store answers. */
	private isConfirming = false;
	/** When the current call to the store was made, milliseconds; undefined between two calls. */
	private calledAt: number | undefined;

	constructor(private readonly options: ViewOptions) {
		this.items = new ViewItems(options.comparator, options.log);
		this.availability = new StoreAvailability(options.log);
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
		return now - (this.calledAt ?? now);
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
		while (!this.isClosed) {
			const startedAt = this.options.clock();
			const before = this.revision;
			this.calledAt = startedAt;
			const result = await this.tryCall();
			this.calledAt = undefined;
			if (result === 'updated') {
				this.backoffMs = initialBackoffMs;
			}

			if (isLater(this.revision, before)) {
				await this.options.delay(batchingMs);
			} else if (result === 'failed' || result === 'unused') {
				await this.backOff(result, this.options.clock() - startedAt);
			}

			this.lastResult = result;
		}
	}

	close(): void {
		this.isClosed = true;
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
		const sinceMs = now - (this.checkedAt ?? now);
		this.checkedAt = now;
		if (sinceMs > pauseMs) {
			this.noteSilence(`this process was paused for ${Math.round(sinceMs)} ms`);
		} else if (this.overdueAt !== undefined && now > this.overdueAt) {
			this.noteSilence(`a call is unanswered after ${Math.round(this.getCallMs(now))} ms`);
		}

		if (this.suspicion !== undefined && now - this.reconnectedAt >= reconnectIntervalMs) {
			this.reconnect(this.suspicion, now);
		}
	}

	/** Notes that open connections may be silent: the store is called again on a new one, with the next check. */
	noteSilence(reason: string): void {
		this.suspicion ??= reason;
	}

	/** Records that a peer's view, of this age in milliseconds, was up to date: the store answers others, even if not this process. */
	notePeerAge(ageMs: number, now: number): void {
		if (this.availability.notePeerAnswer(now - ageMs)) {
			this.noteReturn();
		}
	}

	/** Records an era of the store reported by a peer. A new one aborts the current long poll, which the restored store may never answer. */
	noteEra(era: number): void {
		if (this.isLoaded && era > this.revision.era && !this.needsFullRead) {
			this.needsFullRead = true;
			this.abortCall?.('unused');
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
			this.needsFullRead = false;
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

	/* What a change causes elsewhere must not end the following of the store. */
	private async tryCall(): Promise<CallResult> {
		try {
			return await this.callStore();
		} catch (error) {
			this.options.log(`a call of the store failed with an internal error: ${(error as Error).stack}`);
			return 'failed';
		}
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

	/** Reads all keys or waits for changes. */
	private async callStore(): Promise<CallResult> {
		return this.needsFullRead ? this.readAll() : this.readChanges();
	}

	private reconnect(reason: string, now: number): void {
		this.suspicion = undefined;
		this.reconnectedAt = now;
		this.options.feed.reconnect();
		if (this.isStoreUnavailable) {
			return;
		}

		this.options.log(`calling the store on a new connection: ${reason}`);
		this.isConfirming = true;
		this.abortCall?.('abandoned');
	}

	/* Waits for an answer, unless the call is ended before. */
	private async waitUnlessAborted<Answer>(answer: Promise<Answer>): Promise<Answer | Abort> {
		const aborted = new Promise<Abort>(resolve => {
			this.abortCall = resolve;
		});
		return Promise.race([answer, aborted]);
	}

	private async backOff(result: CallResult, tookMs: number): Promise<void> {
		// The first answer after failed calls shows that the store is reachable, so the next call need not wait.
		if (result === 'unused' && this.lastResult === 'failed') {
			this.backoffMs = initialBackoffMs;
		}

		const backoffMs = this.backoffMs * (0.5 + this.options.random());
		await this.options.delay(Math.max(initialBackoffMs * (result === 'unused' ? this.options.random() : 1), backoffMs - tookMs));
		this.backoffMs = Math.min(this.options.maximumBackoffMs, this.backoffMs * 2);
	}

	private async readAll(): Promise<CallResult> {
		const {feed, prefix, clock} = this.options;
		const requested = this.revision;
		const answer = await this.waitUnlessAborted(feed.list(prefix));
		if (answer === 'unused' || answer === 'abandoned') {
			return answer;
		}

		const now = clock();
		if (answer.isErr()) {
			this.noteFailure(answer.error.message, now);
			return 'failed';
		}

		this.noteAnswer(now);
		this.needsFullRead = false;
		const {era, asOf, items} = answer.value;
		const listed = {era, number: asOf};
		// A list requested at this revision that does not include it comes from a store that was rolled back, even without a new era.
		const hasRolledBack = this.revision === requested && era === requested.era && asOf < requested.number;
		if (isLater(this.revision, listed) && !hasRolledBack) {
			this.noteStaleAnswer(listed);
			return 'unused';
		}

		const removed = this.replace(toItems(items, era), listed, now);
		this.upToDateAt = now;
		this.reportChange(removed, now);
		return 'updated';
	}

	private async readChanges(): Promise<CallResult> {
		const {feed, prefix, clock} = this.options;
		const requested = this.revision;
		const wasSilent = this.isConfirming;
		const waitMs = this.takeWaitMs();
		const answer = await this.waitUnlessAborted(feed.poll(prefix, requested.number, waitMs));
		this.overdueAt = undefined;
		if (answer === 'unused' || answer === 'abandoned') {
			return answer;
		}

		const now = clock();

		if (answer.isErr()) {
			this.noteFailure(answer.error.message, now);
			return 'failed';
		}

		this.noteAnswer(now);
		const {kind, era} = answer.value;
		if (era < this.revision.era) {
			this.noteStaleAnswer({era, number: requested.number});
			return 'unused';
		}

		if (kind === 'forgotten' || era !== this.revision.era) {
			this.options.log(`change history after ${describe(this.revision)} is not available; reading all keys of era ${era}`);
			this.needsFullRead = true;
			return 'unused';
		}

		// A peer's snapshot may have moved the view to another era during the wait; these changes do not continue it then.
		if (requested.era === era) {
			this.apply(answer.value.changes, answer.value.asOf, now);
			this.upToDateAt = now;
			if (wasSilent && isLater(this.revision, requested)) {
				this.options.onLateChange?.();
			}
		}

		return 'updated';
	}

	/* Returns the wait of the next call for changes, and from when on that call is overdue. */
	private takeWaitMs(): number {
		const {waitMs, random, clock} = this.options;
		const isShort = this.isStoreUnavailable || this.isConfirming;
		this.isConfirming = false;
		if (isShort) {
			return Math.min(unavailableWaitMs, waitMs);
		}

		const spreadMs = waitMs * (1 + (waitSpread * ((2 * random()) - 1)));
		this.overdueAt = clock() + spreadMs + overdueMs;
		return spreadMs;
	}

	/* Returns the items that were removed after they had been written since the last outage. */
	private replace(items: readonly StoredItem[], asOf: Revision, now: number): readonly StoredItem[] {
		const isRestored = this.isLoaded && (asOf.era !== this.revision.era || asOf.number < this.revision.number);
		const removed = this.items.replace(items, {isRestored, recordedFrom: this.recordedFrom?.number ?? 0, formerRevision: this.revision.number}, now);
		if (isRestored) {
			this.availability.noteRollback(now);
			this.returnedAt = undefined;
			const retained = describeRetained(this.items.getSnapshot(now).retained ?? []);
			this.options.log(`store was restored from a backup: ${describe(asOf)}, this view was at ${describe(this.revision)}${retained}`);
		}

		this.revision = asOf;
		this.recordedFrom ??= asOf;
		return this.takeDeliberate(removed);
	}

	private apply(changes: ReadonlyArray<StoredValue | RemovedKey>, asOf: number, now: number): void {
		const {era, number} = this.revision;
		const newer = changes.filter(({revision}) => revision > number).map(change => 'isRemoved' in change ? change : {...change, era});
		const removed = this.items.apply(newer, now);
		this.revision = {era, number: Math.max(number, asOf)};
		const deliberate = this.takeDeliberate(removed);
		if (newer.length > 0) {
			this.reportChange(deliberate, now);
		}
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
		this.availability.noteFailure(`${message}; continuing with ${describe(this.revision)}`, now);
	}

	private noteStaleAnswer(answer: Revision): void {
		this.staleAnswers++;
		this.options.log(`ignored an answer of ${describe(answer)}: this view is at ${describe(this.revision)}`);
	}
}
