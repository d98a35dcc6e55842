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
	/** Which of two items is to be believed, whoever names them. */
	readonly comparator: ItemComparator;
	/** Longest wait of one call for changes, milliseconds: a process cut off and back notices within it. */
	readonly waitMs: number;
	/**
	 * Longest time from a failed call to the next, milliseconds, half of it more or less by chance. Calls that are refused
	 * at once are spaced by it; one that was only given up on is followed by the next without a pause.
	 */
	readonly maximumBackoffMs: number;
	readonly clock: () => number;
	readonly random: () => number;
	/** Waits; scenarios pass their own. */
	readonly delay: (ms: number) => Promise<void>;
	readonly log: (message: string) => void;
	/** Called after something changed, with the present. */
	readonly onChange: (now: number) => void;
};

/** What a call came to: no answer, one that brought the view on or waited in vain, or one that changed nothing. */
type CallResult = 'failed' | 'moved' | 'idle';

/**
 * Changes come in bursts: after some, the next are gathered for this time, milliseconds, into one answer. Each answer is
 * a call at every entry, and two seconds are allowed for a change to be in force.
 */
const batchingMs = 300;
/** Pause after the first call that failed or brought nothing, milliseconds; it doubles with each one more. */
const initialBackoffMs = 50;
/** Wait of a call for changes while the store does not answer, milliseconds: its return shows as soon. */
const unavailableWaitMs = 300;
const describe = ({era, number}: Revision): string => `era ${era} revision ${number}`;
const toItems = (items: readonly StoredValue[], era: number): StoredItem[] => items.map(item => ({...item, era}));

/**
 * What this process knows of the store's keys under one prefix. Kept by waiting calls; while the store cannot be reached, by what peers
 * that reach it have. It goes forward in eras, and in revisions within an era; in a new era it starts from the store's list, and what
 * the copy lacks or has older counts on until it is written again.
 */
export class StoreView {
	private readonly items: ViewItems;
	private readonly availability: StoreAvailability;
	private revision: Revision = {era: 0, number: 0};
	private pauseMs = initialBackoffMs;
	private needsFullRead = true;
	private isClosed = false;
	/** When the store is known to have had nothing newer, by own calls or a peer's, milliseconds. */
	private upToDateAt = Number.NEGATIVE_INFINITY;
	private staleAnswers = 0;
	private abortWait: (() => void) | undefined;

	constructor(private readonly options: ViewOptions) {
		this.items = new ViewItems(options.comparator, options.log);
		this.availability = new StoreAvailability(options.log);
	}

	/** Revision of the store that the view is known to include. */
	get asOf(): Revision {
		return this.revision;
	}

	/** Answers that were not taken over, since they were from before what is known. */
	get droppedAnswers(): number {
		return this.staleAnswers;
	}

	/** Keys on which the view goes on with what it knew against what the store holds. */
	get retainedKeys(): number {
		return this.items.retainedKeys;
	}

	/** Whether anything is known yet. */
	get isLoaded(): boolean {
		return this.revision.number > 0;
	}

	/** Whether the last own call to the store failed. */
	get isStoreUnavailable(): boolean {
		return this.availability.isUnavailable;
	}

	/** Milliseconds since the view was last known to be current. */
	getAge(now: number): number {
		return now - this.upToDateAt;
	}

	/** Whether the store has come back so recently that lapsed keys may still return. */
	isRecovering(now: number): boolean {
		return this.availability.isRecovering(now);
	}

	get(key: string): StoredItem | undefined {
		return this.items.get(key);
	}

	/** What the store itself holds under a key, which conditions of writes are about. */
	getStored(key: string): StoredItem | undefined {
		return this.items.getStored(key);
	}

	/** Items whose keys start with `prefix`, the one written last at the end. */
	list(prefix: string): StoredItem[] {
		return this.items.list(prefix);
	}

	/** Follows the store until `close`. */
	async run(): Promise<void> {
		while (!this.isClosed) {
			const startedAt = this.options.clock();
			const before = this.revision;
			const turn = await this.turn();
			if (turn === 'moved') {
				this.pauseMs = initialBackoffMs;
			}

			if (isLater(this.revision, before)) {
				await this.options.delay(batchingMs);
			} else if (turn !== 'moved') {
				await this.pause(turn, this.options.clock() - startedAt);
			}
		}
	}

	close(): void {
		this.isClosed = true;
	}

	/** Ends what was kept for long enough although the store does not hold it. */
	tick(now: number): void {
		if (this.items.expire(now)) {
			this.options.onChange(now);
		}
	}

	/** Learns that the store is in an era, from whoever has heard it: a wait in a former one may never be answered. */
	noteEra(era: number): void {
		if (this.isLoaded && era > this.revision.era && !this.needsFullRead) {
			this.needsFullRead = true;
			this.abortWait?.();
		}
	}

	/** The view as a peer may take it over. */
	getSnapshot(now: number): ViewSnapshot {
		return {asOf: this.revision, ageMs: this.getAge(now), ...this.items.getSnapshot(now)};
	}

	/** Takes over what a peer's view knows more than this one: all of it if it is newer, or single items that are. */
	mergeSnapshot(snapshot: ViewSnapshot): boolean {
		const now = this.options.clock();
		const hasEnded = this.items.mergeRemoved(snapshot, now);
		const isNewer = isLater(snapshot.asOf, this.revision);
		if (isNewer) {
			this.replace(toItems(snapshot.items, snapshot.asOf.era), snapshot.asOf, now);
			this.needsFullRead = false;
			this.upToDateAt = Math.max(this.upToDateAt, now - snapshot.ageMs);
		}

		const hasAdopted = snapshot.asOf.era === this.revision.era && this.items.mergeRetained(snapshot, now);
		const hasKept = this.items.retainNewer(snapshot);
		const hasChanged = hasEnded || isNewer || hasAdopted || hasKept;
		if (hasChanged) {
			this.options.onChange(now);
		}

		return hasChanged;
	}

	/** One reading or wait. */
	private async turn(): Promise<CallResult> {
		return this.needsFullRead ? this.readAll() : this.readChanges();
	}

	private async pause(turn: CallResult, tookMs: number): Promise<void> {
		const pauseMs = this.pauseMs * (0.5 + this.options.random());
		await this.options.delay(Math.max(initialBackoffMs * (turn === 'idle' ? this.options.random() : 1), pauseMs - tookMs));
		this.pauseMs = Math.min(this.options.maximumBackoffMs, this.pauseMs * 2);
	}

	private async readAll(): Promise<CallResult> {
		const {feed, prefix, clock} = this.options;
		const asked = this.revision;
		const answer = await feed.list(prefix);
		const now = clock();
		if (answer.isErr()) {
			this.noteFailure(answer.error.message, now);
			return 'failed';
		}

		this.availability.noteAnswer(now);
		this.needsFullRead = false;
		const {era, asOf, items} = answer.value;
		const listed = {era, number: asOf};
		// A list that began after a revision was known and does not include it is of a store that has gone back, whatever its era.
		const hasRolledBack = this.revision === asked && era === asked.era && asOf < asked.number;
		if (isLater(this.revision, listed) && !hasRolledBack) {
			this.noteStaleAnswer(listed);
			return 'idle';
		}

		this.replace(toItems(items, era), listed, now);
		this.upToDateAt = now;
		this.options.onChange(now);
		return 'moved';
	}

	private async readChanges(): Promise<CallResult> {
		const {feed, prefix, waitMs, clock} = this.options;
		const asked = this.revision;
		const ended = new Promise<undefined>(resolve => {
			this.abortWait = () => {
				resolve(undefined);
			};
		});
		const answer = await Promise.race([feed.poll(prefix, asked.number, this.isStoreUnavailable ? Math.min(unavailableWaitMs, waitMs) : waitMs), ended]);
		const now = clock();
		if (answer === undefined) {
			return 'idle';
		}

		if (answer.isErr()) {
			this.noteFailure(answer.error.message, now);
			return 'failed';
		}

		this.availability.noteAnswer(now);
		const {kind, era} = answer.value;
		if (era < this.revision.era) {
			this.noteStaleAnswer({era, number: asked.number});
			return 'idle';
		}

		if (kind === 'forgotten' || era !== this.revision.era) {
			this.options.log(`history after ${describe(this.revision)} is gone, reading all of era ${era}`);
			this.needsFullRead = true;
			return 'idle';
		}

		// What a peer has brought meanwhile may be of another era than the wait, whose changes then do not follow it.
		if (asked.era === era) {
			this.apply(answer.value.changes, answer.value.asOf, now);
			this.upToDateAt = now;
		}

		return 'moved';
	}

	private replace(items: readonly StoredItem[], asOf: Revision, now: number): void {
		const isRestored = this.isLoaded && (asOf.era !== this.revision.era || asOf.number < this.revision.number);
		this.items.replace(items, isRestored, now);
		if (isRestored) {
			this.availability.noteRollback(now);
			const kept = describeRetained(this.items.getSnapshot(now).retained ?? []);
			this.options.log(`store has come back from a copy: ${describe(asOf)}, this view was of ${describe(this.revision)}${kept}`);
		}

		this.revision = asOf;
	}

	private apply(changes: ReadonlyArray<StoredValue | RemovedKey>, asOf: number, now: number): void {
		const {era, number} = this.revision;
		const newer = changes.filter(({revision}) => revision > number).map(change => 'isRemoved' in change ? change : {...change, era});
		this.items.apply(newer, now);
		this.revision = {era, number: Math.max(number, asOf)};
		if (newer.length > 0) {
			this.options.onChange(now);
		}
	}

	private noteFailure(message: string, now: number): void {
		this.availability.noteFailure(`${message}; going on with ${describe(this.revision)}`, now);
	}

	private noteStaleAnswer(answer: Revision): void {
		this.staleAnswers++;
		this.options.log(`answer of ${describe(answer)} does not count: this view is of ${describe(this.revision)}`);
	}
}
