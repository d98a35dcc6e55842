import {type ChangeFeed} from '../key-value/change-feed.js';
import {isLater} from '../key-value/is-later.js';
import {type RemovedKey} from '../key-value/removed-key.js';
import {type Revision} from '../key-value/revision.js';
import {type StoredValue} from '../key-value/stored-value.js';
import {describeRevision} from './describe-revision.js';
import {SilenceDetector} from './silence-detector.js';

/** Result of a call: it failed, confirmed the view as up to date (with or without changes), was of no use to it, or was given up. */
type CallResult = 'failed' | 'updated' | 'unused' | 'abandoned';
/** Why a call is ended before its answer. */
type Abort = Extract<CallResult, 'unused' | 'abandoned'>;

type FollowerOptions = {
	readonly feed: ChangeFeed;
	readonly prefix: string;
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
	/** Called after changes that a silent connection had held back, which peers may still lack. */
	readonly onLateChange?: () => void;
};

/** What the answers of the store update; `now` in milliseconds. */
type FollowedView = {
	/** Revision of the store that the view includes. */
	readonly getRevision: () => Revision;
	/** Whether the last call failed. */
	readonly isStoreUnavailable: () => boolean;
	/** Called for each answer, before its content is used. */
	readonly noteAnswer: (now: number) => void;
	readonly noteFailure: (message: string, now: number) => void;
	/** Called for an answer that is older than the view. */
	readonly noteStaleAnswer: (answer: Revision) => void;
	/** Takes over all items of the revision `listed`. */
	readonly takeAll: (items: readonly StoredValue[], listed: Revision, now: number) => void;
	/** Takes over the changes up to the revision `asOf` of the view's era. */
	readonly takeChanges: (changes: ReadonlyArray<StoredValue | RemovedKey>, asOf: number, now: number) => void;
};

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

/** Calls the store again and again for a view: one call at a time, which reads all keys or waits for changes. */
export class StoreFollower {
	private backoffMs = initialBackoffMs;
	private lastResult: CallResult | undefined;
	private needsFullRead = true;
	private isClosed = false;
	private abortCall: ((result: Abort) => void) | undefined;
	private readonly silence = new SilenceDetector();
	/** Whether the next call for changes is to find out soon whether the store answers. */
	private isConfirming = false;
	/** When the current call to the store was made, milliseconds; undefined between two calls. */
	private calledAt: number | undefined;

	constructor(private readonly options: FollowerOptions, private readonly view: FollowedView) {}

	/** Time for which the current call to the store has been waiting for its answer, milliseconds; 0 between two calls. */
	getCallMs(now: number): number {
		return now - (this.calledAt ?? now);
	}

	/** Follows the store until `close`. */
	async run(): Promise<void> {
		while (!this.isClosed) {
			const startedAt = this.options.clock();
			const before = this.view.getRevision();
			this.calledAt = startedAt;
			const result = await this.tryCall();
			this.calledAt = undefined;
			if (result === 'updated') {
				this.backoffMs = initialBackoffMs;
			}

			if (isLater(this.view.getRevision(), before)) {
				await this.options.delay(batchingMs);
			} else if (result === 'failed' || result === 'unused') {
				await this.backOff(result, this.options.clock() - startedAt);
			}

			this.lastResult = result;
		}
	}

	/** Ends `run` after the current call. */
	close(): void {
		this.isClosed = true;
	}

	/** Calls the store again on a new connection if the current call is overdue, the process was paused, or silence was noted; `now` in milliseconds. */
	checkCall(now: number): void {
		const reason = this.silence.check(this.getCallMs(now), now);
		if (reason !== undefined) {
			this.reconnect(reason);
		}
	}

	/** Notes that open connections may be silent: the store is called again on a new one, with the next check. */
	noteSilence(reason: string): void {
		this.silence.noteSilence(reason);
	}

	/** Notes that the view must be read anew. It aborts the current long poll, which a restored store may never answer. */
	requireFullRead(): void {
		if (!this.needsFullRead) {
			this.needsFullRead = true;
			this.abortCall?.('unused');
		}
	}

	/** Notes that the view has got all keys from elsewhere. */
	noteFullRead(): void {
		this.needsFullRead = false;
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

	/* Reads all keys or waits for changes. */
	private async callStore(): Promise<CallResult> {
		return this.needsFullRead ? this.readAll() : this.readChanges();
	}

	private reconnect(reason: string): void {
		this.options.feed.reconnect();
		if (this.view.isStoreUnavailable()) {
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
		const requested = this.view.getRevision();
		const answer = await this.waitUnlessAborted(feed.list(prefix));
		if (answer === 'unused' || answer === 'abandoned') {
			return answer;
		}

		const now = clock();
		if (answer.isErr()) {
			this.view.noteFailure(answer.error.message, now);
			return 'failed';
		}

		this.view.noteAnswer(now);
		this.needsFullRead = false;
		const {era, asOf, items} = answer.value;
		const listed = {era, number: asOf};
		const present = this.view.getRevision();
		// A list requested at this revision that does not include it comes from a store that was rolled back, even without a new era.
		const hasRolledBack = present === requested && era === requested.era && asOf < requested.number;
		if (isLater(present, listed) && !hasRolledBack) {
			this.view.noteStaleAnswer(listed);
			return 'unused';
		}

		this.view.takeAll(items, listed, now);
		return 'updated';
	}

	private async readChanges(): Promise<CallResult> {
		const {feed, prefix, clock, log} = this.options;
		const requested = this.view.getRevision();
		const wasSilent = this.isConfirming;
		const waitMs = this.takeWaitMs();
		const answer = await this.waitUnlessAborted(feed.poll(prefix, requested.number, waitMs));
		this.silence.noteCallEnd();
		if (answer === 'unused' || answer === 'abandoned') {
			return answer;
		}

		const now = clock();

		if (answer.isErr()) {
			this.view.noteFailure(answer.error.message, now);
			return 'failed';
		}

		this.view.noteAnswer(now);
		const {kind, era} = answer.value;
		const present = this.view.getRevision();
		if (era < present.era) {
			this.view.noteStaleAnswer({era, number: requested.number});
			return 'unused';
		}

		if (kind === 'forgotten' || era !== present.era) {
			log(`change history after ${describeRevision(present)} is not available; reading all keys of era ${era}`);
			this.needsFullRead = true;
			return 'unused';
		}

		// A peer's snapshot may have moved the view to another era during the wait; these changes do not continue it then.
		if (requested.era === era) {
			this.view.takeChanges(answer.value.changes, answer.value.asOf, now);
			if (wasSilent && isLater(this.view.getRevision(), requested)) {
				this.options.onLateChange?.();
			}
		}

		return 'updated';
	}

	/* Returns the wait of the next call for changes, and has the call checked unless that wait is short. */
	private takeWaitMs(): number {
		const {waitMs, random, clock} = this.options;
		const isShort = this.view.isStoreUnavailable() || this.isConfirming;
		this.isConfirming = false;
		if (isShort) {
			return Math.min(unavailableWaitMs, waitMs);
		}

		const spreadMs = waitMs * (1 + (waitSpread * ((2 * random()) - 1)));
		this.silence.noteCall(clock() + spreadMs);
		return spreadMs;
	}
}
