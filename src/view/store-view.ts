import {type ChangeFeed} from '../key-value/change-feed.js';
import {isLater} from '../key-value/is-later.js';
import {type RemovedKey} from '../key-value/removed-key.js';
import {type Revision} from '../key-value/revision.js';
import {type StoredValue} from '../key-value/stored-value.js';
import {type ItemGuard} from './item-guard.js';
import {describeRetained} from './describe-retained.js';
import {StoreContact} from './store-contact.js';
import {type StoredItem} from './stored-item.js';
import {ViewItems} from './view-items.js';
import {type ViewSnapshot} from './view-snapshot.js';

type ViewOptions = {
	readonly feed: ChangeFeed;
	readonly prefix: string;
	/** Which of two items is to be believed, whoever names them. */
	readonly guard: ItemGuard;
	/** Longest wait of one call for changes, milliseconds: a process cut off and back notices within it. */
	readonly waitMs: number;
	/**
	 * Longest time from a failed call to the next, milliseconds, half of it more or less by chance. Calls that are refused
	 * at once are spaced by it; one that was only given up on is followed by the next without a pause.
	 */
	readonly longestPauseMs: number;
	readonly clock: () => number;
	readonly random: () => number;
	/** Waits; scenarios pass their own. */
	readonly delay: (ms: number) => Promise<void>;
	readonly log: (message: string) => void;
	/** Called after something changed, with the present. */
	readonly onChange: (now: number) => void;
};

/** What a call came to: no answer, one that brought the view on or waited in vain, or one that changed nothing. */
type Turn = 'failed' | 'moved' | 'idle';

/**
 * Changes come in bursts: after some, the next are gathered for this time, milliseconds, into one answer. Each answer is
 * a call at every entry, and two seconds are allowed for a change to be in force.
 */
const gatherMs = 300;
/** Pause after the first call that failed or brought nothing, milliseconds; it doubles with each one more. */
const firstPauseMs = 50;
/** Wait of a call for changes while the store does not answer, milliseconds: its return shows as soon. */
const lostWaitMs = 300;
const describe = ({era, number}: Revision): string => `era ${era} revision ${number}`;
const toItems = (items: readonly StoredValue[], era: number): StoredItem[] => items.map(item => ({...item, era}));

/**
 * What this process knows of the store's keys under one prefix. Kept by waiting calls; while the store cannot be reached, by what peers
 * that reach it have. It goes forward in eras, and in revisions within an era; in a new era it starts from the store's list, and what
 * the copy lacks or has older counts on until it is written again.
 */
export class StoreView {
	private readonly items: ViewItems;
	private readonly contact: StoreContact;
	private revision: Revision = {era: 0, number: 0};
	private pauseMs = firstPauseMs;
	private needsList = true;
	private isClosed = false;
	/** When the store is known to have had nothing newer, by own calls or a peer's, milliseconds. */
	private currentAt = Number.NEGATIVE_INFINITY;
	private droppedAnswers = 0;
	private endWait: (() => void) | undefined;

	constructor(private readonly options: ViewOptions) {
		this.items = new ViewItems(options.guard, options.log);
		this.contact = new StoreContact(options.log);
	}

	/** Revision of the store that the view is known to include. */
	get asOf(): Revision {
		return this.revision;
	}

	/** Answers that were not taken over, since they were from before what is known. */
	get dropped(): number {
		return this.droppedAnswers;
	}

	/** Keys on which the view goes on with what it knew against what the store holds. */
	get retainedKeys(): number {
		return this.items.retainedKeys;
	}

	/** Whether anything is known yet. */
	get isKnown(): boolean {
		return this.revision.number > 0;
	}

	/** Whether the last own call to the store failed. */
	get isCutOff(): boolean {
		return this.contact.isLost;
	}

	/** Milliseconds since the view was last known to be current. */
	getAge(now: number): number {
		return now - this.currentAt;
	}

	/** Whether the store has come back so recently that lapsed keys may still return. */
	isReturning(now: number): boolean {
		return this.contact.isReturning(now);
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
				this.pauseMs = firstPauseMs;
			}

			if (isLater(this.revision, before)) {
				await this.options.delay(gatherMs);
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
		if (this.isKnown && era > this.revision.era && !this.needsList) {
			this.needsList = true;
			this.endWait?.();
		}
	}

	/** The view as a peer may take it over. */
	getSnapshot(now: number): ViewSnapshot {
		return {asOf: this.revision, ageMs: this.getAge(now), ...this.items.getSnapshot(now)};
	}

	/** Takes over what a peer's view knows more than this one: all of it if it is newer, or single items that are. */
	takeSnapshot(snapshot: ViewSnapshot): boolean {
		const now = this.options.clock();
		const hasEnded = this.items.mergeRemoved(snapshot, now);
		const isNewer = isLater(snapshot.asOf, this.revision);
		if (isNewer) {
			this.replace(toItems(snapshot.items, snapshot.asOf.era), snapshot.asOf, now);
			this.needsList = false;
			this.currentAt = Math.max(this.currentAt, now - snapshot.ageMs);
		}

		const hasAdopted = snapshot.asOf.era === this.revision.era && this.items.adoptRetained(snapshot, now);
		const hasKept = this.items.keepNewer(snapshot);
		const hasChanged = hasEnded || isNewer || hasAdopted || hasKept;
		if (hasChanged) {
			this.options.onChange(now);
		}

		return hasChanged;
	}

	/** One reading or wait. */
	private async turn(): Promise<Turn> {
		return this.needsList ? this.readAll() : this.readChanges();
	}

	private async pause(turn: Turn, tookMs: number): Promise<void> {
		const pauseMs = this.pauseMs * (0.5 + this.options.random());
		await this.options.delay(Math.max(firstPauseMs * (turn === 'idle' ? this.options.random() : 1), pauseMs - tookMs));
		this.pauseMs = Math.min(this.options.longestPauseMs, this.pauseMs * 2);
	}

	private async readAll(): Promise<Turn> {
		const {feed, prefix, clock} = this.options;
		const asked = this.revision;
		const answer = await feed.list(prefix);
		const now = clock();
		if (answer.isErr()) {
			this.noteFailure(answer.error.message, now);
			return 'failed';
		}

		this.contact.noteAnswer(now);
		this.needsList = false;
		const {era, asOf, items} = answer.value;
		const listed = {era, number: asOf};
		// A list that began after a revision was known and does not include it is of a store that has gone back, whatever its era.
		const hasGoneBack = this.revision === asked && era === asked.era && asOf < asked.number;
		if (isLater(this.revision, listed) && !hasGoneBack) {
			this.drop(listed);
			return 'idle';
		}

		this.replace(toItems(items, era), listed, now);
		this.currentAt = now;
		this.options.onChange(now);
		return 'moved';
	}

	private async readChanges(): Promise<Turn> {
		const {feed, prefix, waitMs, clock} = this.options;
		const asked = this.revision;
		const ended = new Promise<undefined>(resolve => {
			this.endWait = () => {
				resolve(undefined);
			};
		});
		const answer = await Promise.race([feed.poll(prefix, asked.number, this.isCutOff ? Math.min(lostWaitMs, waitMs) : waitMs), ended]);
		const now = clock();
		if (answer === undefined) {
			return 'idle';
		}

		if (answer.isErr()) {
			this.noteFailure(answer.error.message, now);
			return 'failed';
		}

		this.contact.noteAnswer(now);
		const {kind, era} = answer.value;
		if (era < this.revision.era) {
			this.drop({era, number: asked.number});
			return 'idle';
		}

		if (kind === 'forgotten' || era !== this.revision.era) {
			this.options.log(`history after ${describe(this.revision)} is gone, reading all of era ${era}`);
			this.needsList = true;
			return 'idle';
		}

		// What a peer has brought meanwhile may be of another era than the wait, whose changes then do not follow it.
		if (asked.era === era) {
			this.apply(answer.value.changes, answer.value.asOf, now);
			this.currentAt = now;
		}

		return 'moved';
	}

	private replace(items: readonly StoredItem[], asOf: Revision, now: number): void {
		const isRestored = this.isKnown && (asOf.era !== this.revision.era || asOf.number < this.revision.number);
		this.items.replace(items, isRestored, now);
		if (isRestored) {
			this.contact.noteRestoration(now);
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
		this.contact.noteFailure(`${message}; going on with ${describe(this.revision)}`, now);
	}

	private drop(answer: Revision): void {
		this.droppedAnswers++;
		this.options.log(`answer of ${describe(answer)} does not count: this view is of ${describe(this.revision)}`);
	}
}
