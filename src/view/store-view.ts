import {type ChangeFeed} from '../key-value/change-feed.js';
import {type RemovedKey} from '../key-value/removed-key.js';
import {type StoredValue} from '../key-value/stored-value.js';
import {type ViewSnapshot} from './view-snapshot.js';

type ViewOptions = {
	readonly feed: ChangeFeed;
	readonly prefix: string;
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

/**
 * Changes come in bursts: after some, the next are gathered for this time, milliseconds, into one answer. Each answer is
 * a call at every entry, and two seconds are allowed for a change to be in force.
 */
const gatherMs = 300;
/** Pause after the first failed call, milliseconds; it doubles with each one more. */
const firstPauseMs = 50;
/** Wait of a call for changes while the store does not answer, milliseconds: its return shows as soon. */
const lostWaitMs = 300;
/** A store that gave no answer for so long was away, milliseconds. */
const outageMs = 800;
/** For so long after the store is back, what is missing may still come back, milliseconds. */
const returnMs = 2500;

/**
 * What this process knows of the store's keys under one prefix. Kept by waiting calls; while the store cannot be
 * reached, by what peers that reach it have. It only ever goes forward in the store's revisions.
 */
export class StoreView {
	private items = new Map<string, StoredValue>();
	private revision = 0;
	private pauseMs = firstPauseMs;
	private needsList = true;
	/** Era of the store's last answer; it rises each time the store comes back from an older copy. */
	private era: number | undefined;
	private droppedAnswers = 0;
	/** Whether the history that the view was waiting for is known to be gone, so that it is logged once. */
	private isForgotten = false;
	private isClosed = false;
	private failedSince: number | undefined;
	private returnedAt = Number.NEGATIVE_INFINITY;
	/** When the store is known to have had nothing newer, by own calls or a peer's, milliseconds. */
	private currentAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: ViewOptions) {}

	/** Revision of the store that the view is known to include. */
	get asOf(): number {
		return this.revision;
	}

	/** Era of the store that answered last; 0 before any answer. */
	get storeEra(): number {
		return this.era ?? 0;
	}

	/** Answers that were not taken over because the view knew more. */
	get dropped(): number {
		return this.droppedAnswers;
	}

	/** Whether anything is known yet. */
	get isKnown(): boolean {
		return this.revision > 0;
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

	get(key: string): StoredValue | undefined {
		return this.items.get(key);
	}

	/** Items whose keys start with `prefix`, the one written last at the end. */
	list(prefix: string): StoredValue[] {
		return [...this.items.values()].filter(({key}) => key.startsWith(prefix)).toSorted((one, other) => one.revision - other.revision);
	}

	/** Follows the store until `close`. */
	async run(): Promise<void> {
		while (!this.isClosed) {
			const revisionBefore = this.revision;
			const startedAt = this.options.clock();
			const isAnswered = await this.turn();
			if (isAnswered && this.revision > revisionBefore) {
				await this.options.delay(gatherMs);
			} else if (!isAnswered) {
				const tookMs = this.options.clock() - startedAt;
				await this.options.delay(Math.max(firstPauseMs, (this.pauseMs * (0.5 + this.options.random())) - tookMs));
				this.pauseMs = Math.min(this.options.longestPauseMs, this.pauseMs * 2);
			}
		}
	}

	close(): void {
		this.isClosed = true;
	}

	/** One reading or wait; gives whether the store answered. */
	async turn(): Promise<boolean> {
		return this.needsList ? this.readAll() : this.readChanges();
	}

	/** The view as a peer may take it over. */
	getSnapshot(now: number): ViewSnapshot {
		return {asOf: this.revision, ageMs: this.getAge(now), items: [...this.items.values()]};
	}

	/** Takes a peer's view if it is newer than this one. */
	takeSnapshot(snapshot: ViewSnapshot): boolean {
		if (snapshot.asOf <= this.revision) {
			return false;
		}

		const now = this.options.clock();
		this.items = new Map(snapshot.items.map(item => [item.key, item]));
		this.revision = snapshot.asOf;
		this.needsList = false;
		this.currentAt = Math.max(this.currentAt, now - snapshot.ageMs);
		this.options.onChange(now);
		return true;
	}

	private async readAll(): Promise<boolean> {
		const answer = await this.options.feed.list(this.options.prefix);
		const now = this.options.clock();
		if (answer.isErr()) {
			this.noteFailure(now, answer.error.message);
			return false;
		}

		const {era, asOf, items} = answer.value;
		this.noteAnswer(now);
		this.noteEra(era, asOf);
		this.needsList = false;
		if (asOf >= this.revision) {
			this.isForgotten = false;
			this.items = new Map(items.map(item => [item.key, item]));
			this.revision = asOf;
			this.options.onChange(now);
		} else {
			this.noteDropped(asOf);
		}

		return true;
	}

	private async readChanges(): Promise<boolean> {
		const {feed, prefix, waitMs} = this.options;
		const answer = await feed.poll(prefix, this.revision, this.isCutOff ? Math.min(lostWaitMs, waitMs) : waitMs);
		const now = this.options.clock();
		if (answer.isErr()) {
			this.noteFailure(now, answer.error.message);
			return false;
		}

		this.noteAnswer(now);
		if (answer.value.kind === 'forgotten') {
			this.noteEra(answer.value.era);
			if (!this.isForgotten) {
				this.options.log(`history after revision ${this.revision} is gone, reading all`);
			}

			this.isForgotten = true;
			this.needsList = true;
			return true;
		}

		this.noteEra(answer.value.era, answer.value.asOf);
		this.isForgotten = false;
		this.apply(answer.value.changes, answer.value.asOf, now);
		return true;
	}

	private apply(changes: ReadonlyArray<StoredValue | RemovedKey>, asOf: number, now: number): void {
		const isChanged = changes.map(change => this.applyOne(change)).includes(true);
		this.revision = Math.max(this.revision, asOf);
		if (isChanged) {
			this.options.onChange(now);
		}
	}

	private applyOne(change: StoredValue | RemovedKey): boolean {
		const known = this.items.get(change.key);
		// A peer's view may have brought something newer while the call waited.
		if (change.revision <= Math.max(this.revision, known?.revision ?? 0)) {
			return false;
		}

		if ('isRemoved' in change) {
			return this.items.delete(change.key);
		}

		this.items.set(change.key, change);
		return true;
	}

	private noteEra(era: number, asOf?: number): void {
		if (this.era !== undefined && era !== this.era) {
			const at = asOf === undefined ? '' : ` at revision ${asOf}`;
			this.options.log(`store is in era ${era}${at}, it was in era ${this.era}; this view is at revision ${this.revision}`);
		}

		this.era = era;
	}

	private noteDropped(asOf: number): void {
		this.droppedAnswers++;
		if (!this.isForgotten || this.droppedAnswers === 1) {
			this.options.log(`all keys as of revision ${asOf} not taken over: this view is at revision ${this.revision}`);
		}
	}

	private noteFailure(now: number, message: string): void {
		if (this.failedSince === undefined) {
			this.options.log(`store does not answer: ${message}; going on with revision ${this.revision}`);
		}

		this.failedSince ??= now;
	}

	private noteAnswer(now: number): void {
		this.pauseMs = firstPauseMs;
		this.currentAt = now;
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
