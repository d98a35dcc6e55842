import {type ChangeFeed} from '../key-value/change-feed.js';
import {isLater} from '../key-value/is-later.js';
import {type RemovedKey} from '../key-value/removed-key.js';
import {type Revision} from '../key-value/revision.js';
import {type StoredValue} from '../key-value/stored-value.js';
import {type ItemGuard} from './item-guard.js';
import {RetainedItems} from './retained-items.js';
import {type StoredItem} from './stored-item.js';
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
/** A store that gave no answer for so long was away, milliseconds. */
const outageMs = 800;
/** For so long after the store is back, what is missing may still come back, milliseconds. */
const returnMs = 2500;
/** What was removed is remembered for so long, milliseconds: a copy from which the store comes back may hold it again. */
const removalMemoryMs = 60_000;
/** Most keys that one log line names. */
const namedKeys = 5;

const describe = ({era, number}: Revision): string => `era ${era} revision ${number}`;
const toMap = (items: readonly StoredValue[], era: number): Map<string, StoredItem> => new Map(items.map(item => [item.key, {...item, era}]));

/**
 * What this process knows of the store's keys under one prefix. Kept by waiting calls; while the store cannot be reached, by what peers
 * that reach it have. It goes forward in eras, and in revisions within an era; in a new era it starts from the store's list, and what
 * the copy lacks or has older counts on until it is written again.
 */
export class StoreView {
	private stored = new Map<string, StoredItem>();
	private readonly retained: RetainedItems;
	private readonly removed = new Map<string, {readonly item: StoredItem; readonly at: number}>();
	/** What counts: what is stored but for what is retained. */
	private current: ReadonlyMap<string, StoredItem> = this.stored;
	private revision: Revision = {era: 0, number: 0};
	private pauseMs = firstPauseMs;
	private needsList = true;
	private isClosed = false;
	private failedSince: number | undefined;
	private returnedAt = Number.NEGATIVE_INFINITY;
	/** When the store is known to have had nothing newer, by own calls or a peer's, milliseconds. */
	private currentAt = Number.NEGATIVE_INFINITY;
	private droppedAnswers = 0;
	private endWait: (() => void) | undefined;

	constructor(private readonly options: ViewOptions) {
		this.retained = new RetainedItems(options.guard);
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
		return this.retained.size;
	}

	/** Whether anything is known yet. */
	get isKnown(): boolean {
		return this.revision.number > 0;
	}

	/** Whether the last own call to the store failed. */
	get isCutOff(): boolean {
		return this.failedSince !== undefined;
	}

	/** Milliseconds since the view was last known to be current. */
	getAge(now: number): number {
		return now - this.currentAt;
	}

	/** Whether the store has come back so recently that lapsed keys may still return. */
	isReturning(now: number): boolean {
		return now - this.returnedAt < returnMs;
	}

	get(key: string): StoredItem | undefined {
		return this.current.get(key);
	}

	/** What the store itself holds under a key, which conditions of writes are about. */
	getStored(key: string): StoredItem | undefined {
		return this.stored.get(key);
	}

	/** Items whose keys start with `prefix`, the one written last at the end. */
	list(prefix: string): StoredItem[] {
		return [...this.current.values()]
			.filter(({key}) => key.startsWith(prefix))
			.toSorted((one, other) => one.era - other.era || one.revision - other.revision);
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
		const {hasChanged, dropped} = this.retained.expire(now);
		for (const item of dropped) {
			if (!this.stored.has(item.key)) {
				this.options.log(`${item.key} is gone: nobody has written it again`);
				this.removed.set(item.key, {item, at: now});
			}
		}

		for (const [key, {at}] of this.removed) {
			if (now - at > removalMemoryMs) {
				this.removed.delete(key);
			}
		}

		if (hasChanged) {
			this.noteChange(now);
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
		const retained = this.retained.list(this.stored, now);
		const ended = [...this.removed.values()].filter(({item}) => this.options.guard.isSame(item, item));
		return {
			asOf: this.revision,
			ageMs: this.getAge(now),
			items: [...this.stored.values()],
			...(retained.length > 0 && {retained}),
			...(ended.length > 0 && {removed: ended.map(({item, at}) => ({item, agoMs: now - at}))}),
		};
	}

	/** Takes over what a peer's view knows more than this one: all of it if it is newer, or single items that are. */
	takeSnapshot(snapshot: ViewSnapshot): boolean {
		const now = this.options.clock();
		const hasEnded = this.learnRemovals(snapshot, now);
		const isNewer = isLater(snapshot.asOf, this.revision);
		if (isNewer) {
			this.replace(toMap(snapshot.items, snapshot.asOf.era), snapshot.asOf, now);
			this.needsList = false;
			this.currentAt = Math.max(this.currentAt, now - snapshot.ageMs);
		}

		const retained = (snapshot.retained ?? []).filter(({item}) => item === undefined || !this.isEnded(item));
		const hasAdopted = snapshot.asOf.era === this.revision.era && this.retained.adopt(retained, this.stored, now);
		const hasKept = this.keepNewer(snapshot);
		const hasChanged = isNewer || hasAdopted || hasKept || hasEnded;
		if (hasChanged) {
			this.noteChange(now);
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
			this.noteFailure(now, answer.error.message);
			return 'failed';
		}

		this.noteAnswer(now);
		this.needsList = false;
		const {era, asOf, items} = answer.value;
		const listed = {era, number: asOf};
		// A list that began after a revision was known and does not include it is of a store that has gone back, whatever its era.
		const hasGoneBack = this.revision === asked && era === asked.era && asOf < asked.number;
		if (isLater(this.revision, listed) && !hasGoneBack) {
			this.drop(listed);
			return 'idle';
		}

		this.replace(toMap(items, era), listed, now);
		this.currentAt = now;
		this.noteChange(now);
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
			this.noteFailure(now, answer.error.message);
			return 'failed';
		}

		this.noteAnswer(now);
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

	private replace(stored: Map<string, StoredItem>, asOf: Revision, now: number): void {
		const before = this.current;
		const former = this.stored;
		this.stored = stored;
		if (this.isKnown && (asOf.era !== this.revision.era || asOf.number < this.revision.number)) {
			this.retained.restore({before, stored, removed: this.removed}, now);
			this.describeRestoration(asOf);
		} else {
			this.compare(before, former, now);
		}

		this.revision = asOf;
	}

	/* Within an era what differs was written or removed since. */
	private compare(before: ReadonlyMap<string, StoredItem>, former: ReadonlyMap<string, StoredItem>, now: number): void {
		for (const [key, item] of this.stored) {
			if (item.revision !== former.get(key)?.revision) {
				this.retained.take(item, before.get(key));
			}
		}

		for (const [key, item] of former) {
			if (!this.stored.has(key)) {
				this.removed.set(key, {item, at: now});
				this.retained.take({key, revision: item.revision, isRemoved: true}, item);
			}
		}
	}

	private apply(changes: ReadonlyArray<StoredValue | RemovedKey>, asOf: number, now: number): void {
		const {era, number} = this.revision;
		const newer = changes.filter(({revision}) => revision > number);
		for (const change of newer) {
			this.applyOne(change, now);
		}

		this.revision = {era, number: Math.max(number, asOf)};
		if (newer.length > 0) {
			this.noteChange(now);
		}
	}

	private applyOne(offered: StoredValue | RemovedKey, now: number): void {
		const change = 'isRemoved' in offered ? offered : {...offered, era: this.revision.era};
		const {key} = change;
		const known = this.retained.get(key) ? this.retained.get(key)!.item : this.stored.get(key);
		this.retained.take(change, known);
		if (this.retained.get(key)) {
			this.options.log(`${key} as written at revision ${change.revision} is older than what is known, and does not count`);
		}

		if ('isRemoved' in change) {
			const item = known ?? this.stored.get(key);
			this.stored.delete(key);
			if (item) {
				this.removed.set(key, {item, at: now});
			}
		} else {
			this.stored.set(key, change);
		}
	}

	/* Items that a peer knows to be newer than those here, whatever era its view is of. */
	private keepNewer({items, retained}: ViewSnapshot): boolean {
		const offered = [...items, ...(retained ?? []).flatMap(({item}) => item ?? [])];
		const newer = offered.filter(item => this.options.guard.isOlder(item, this.retained.get(item.key)?.item ?? this.stored.get(item.key)) === true);
		for (const item of newer) {
			this.options.log(`a peer knows a newer ${item.key}`);
			this.retained.keep(item);
		}

		return newer.length > 0;
	}

	/* Whether an item stands for what is known to have been removed. */
	private isEnded(item: StoredItem): boolean {
		const ended = this.removed.get(item.key)?.item;
		return ended !== undefined && this.options.guard.isSame(ended, item);
	}

	/* Gives whether something that was kept has ended by it. */
	private learnRemovals({removed}: ViewSnapshot, now: number): boolean {
		const unknown = (removed ?? []).filter(({item: {key}}) => !this.removed.has(key) && !this.stored.has(key));
		for (const {item, agoMs} of unknown) {
			this.removed.set(item.key, {item, at: now - agoMs});
		}

		return this.retained.end(unknown);
	}

	private noteChange(now: number): void {
		this.current = this.retained.size > 0 ? this.retained.merge(this.stored) : this.stored;
		this.options.onChange(now);
	}

	private drop(answer: Revision): void {
		this.droppedAnswers++;
		this.options.log(`answer of ${describe(answer)} does not count: this view is of ${describe(this.revision)}`);
	}

	private describeRestoration(asOf: Revision): void {
		const retained = this.retained.list(this.stored, 0);
		const named = retained.slice(0, namedKeys).map(({key, item}) => item ? key : `${key} as removed`);
		const more = retained.length > namedKeys ? ` and ${retained.length - namedKeys} more` : '';
		const kept = retained.length > 0 ? `; kept against it until written again: ${named.join(', ')}${more}` : '';
		this.options.log(`store has come back from a copy: ${describe(asOf)}, this view was of ${describe(this.revision)}${kept}`);
	}

	private noteFailure(now: number, message: string): void {
		if (this.failedSince === undefined) {
			this.options.log(`store does not answer: ${message}; going on with ${describe(this.revision)}`);
		}

		this.failedSince ??= now;
	}

	private noteAnswer(now: number): void {
		if (this.failedSince === undefined) {
			return;
		}

		const awayMs = now - this.failedSince;
		this.failedSince = undefined;
		this.options.log(`store answers again after ${Math.round(awayMs)} ms`);
		if (awayMs > outageMs) {
			this.returnedAt = now;
		}
	}
}
