import {countCrashEvents} from './count-crash-events.js';
import {evictOldest} from './evict-oldest.js';

type Crash = {
	/** When it was learned, milliseconds. */
	readonly at: number;
	/** Whether the request had just started there. */
	readonly hasJustBegun: boolean;
	/** Whether the request was sent there after an earlier crash was known. */
	readonly isTried: boolean;
};

/**
 * Crashes, each at another moment, after which a request is blocked: either this many in which it had just started, or this many in total.
 * A request that had been running for some time is weaker evidence, since another request may have caused the crash.
 */
const earlyCrashesToBlock = 2;
const crashesToBlock = 5;
/**
 * Time for which a request is blocked, milliseconds. The first block is short, because two targets may also crash in
 * succession for unrelated reasons. From the third crash just after the start on, the block begins at `secondBlockMs` and doubles
 * with each further one.
 */
const firstBlockMs = 10_000;
const secondBlockMs = 120_000;
const maximumBlockMs = 3_600_000;
/**
 * Block after several targets have crashed at the same moment, milliseconds, as long as other requests do not fare better, as when nearly all
 * are alike: short, so that a probe soon ends it if the request is sound. It doubles with each further crash, up to `firstBlockMs`.
 */
const doubtfulBlockMs = 2000;
/** As long as other requests do not fare better, any entry may probe this long after the block, milliseconds: the elected one may get no such request. */
const electedProbeMs = 1000;
/** When a request returns that meets a probe that a peer has to send soon, milliseconds. */
const probeWaitMs = 500;
/** Maximum number of incarnations kept. */
const maximumIncarnations = 8;

/** A request, and the incarnations that crashed while they ran it. Times are in milliseconds. */
export class CrashSuspect {
	/** When something was last learned of it. */
	changedAt: number;
	/** When it was last requested, or lost in a crash. */
	seenAt: number;
	private readonly crashes = new Map<string, Crash>();
	/** Whether it was refused as the store says: its crashes were learned at once, so that their moments are not known. */
	private isRecorded = false;
	/** Whether requests unlike it fare better, as this entry or another one has found. */
	private hasContrast = false;
	private until = 0;

	/** @param isExplained - whether something else is known to be the cause of an incarnation's crash */
	constructor(private readonly isExplained: (incarnation: string) => boolean, now: number) {
		this.changedAt = now;
		this.seenAt = now;
	}

	/** Until when the request is blocked. */
	get blockedUntil(): number {
		return this.until;
	}

	/** Whether requests unlike it fare better, as this entry or another one has found. */
	get isConfirmed(): boolean {
		return this.hasContrast;
	}

	/** Whether enough targets have crashed for the request to be blocked. */
	get isSuspected(): boolean {
		return this.countEarlyCrashes() >= earlyCrashesToBlock || this.countMoments(this.listUnexplained()) >= crashesToBlock;
	}

	/** Whether its targets may as well have crashed for a cause that they share. */
	get isDoubtful(): boolean {
		const crashes = this.listUnexplained();
		return !this.hasContrast && this.countMoments(crashes) < crashes.length;
	}

	/** Lists the incarnations that crashed while they ran the request. */
	listIncarnations(): string[] {
		return [...this.crashes.keys()];
	}

	/** Lists those in which it had been running for some time at the crash. */
	listMet(): string[] {
		return [...this.crashes].filter(([, {hasJustBegun}]) => !hasJustBegun).map(([name]) => name);
	}

	/** Lists those to which it was sent after an earlier crash was known. */
	listRepeated(): string[] {
		return [...this.crashes].filter(([, {isTried}]) => isTried).map(([name]) => name);
	}

	/** Adds crashes of incarnations; returns whether anything was not known. */
	addCrashes(crashes: ReadonlyArray<readonly [incarnation: string, crash: Crash]>): boolean {
		const isNew = crashes.some(([incarnation, {isTried}]) => !this.crashes.has(incarnation) || (isTried && !this.crashes.get(incarnation)?.isTried));
		for (const [incarnation, crash] of crashes) {
			const known = this.crashes.get(incarnation);
			this.crashes.set(incarnation, {at: known?.at ?? crash.at, hasJustBegun: crash.hasJustBegun, isTried: crash.isTried || (known?.isTried ?? false)});
			evictOldest(this.crashes, maximumIncarnations);
		}

		return isNew;
	}

	/** Notes that requests unlike it fare better. */
	confirm(): void {
		this.hasContrast = true;
	}

	/** Notes that it was refused as the store says. */
	noteRecorded(): void {
		this.isRecorded = true;
		this.hasContrast = true;
	}

	/** Blocks the request if it is suspected; returns for how long, undefined if it is not. */
	block(now: number): number | undefined {
		if (!this.isSuspected) {
			return undefined;
		}

		const blockMs = this.getNextBlockMs();
		this.until = now + blockMs;
		return blockMs;
	}

	/**
	 * Gets for how long the request is refused, if it is suspected. When its block is over, it is let through once as a probe, and blocked again.
	 *
	 * @param mayProbe - whether this entry, rather than a peer, may send the probe
	 * @returns 0 when it may be sent
	 */
	takeWaitMs(mayProbe: () => boolean, now: number): number {
		if (now < this.until) {
			return this.until - now;
		}

		if (!mayProbe() && (this.hasContrast || now < this.until + electedProbeMs)) {
			return this.hasContrast ? firstBlockMs : probeWaitMs;
		}

		this.until = now + (this.isDoubtful ? doubtfulBlockMs : firstBlockMs);
		return 0;
	}

	private listUnexplained(): Crash[] {
		return [...this.crashes].filter(([incarnation]) => !this.isExplained(incarnation)).map(([, crash]) => crash);
	}

	private countMoments(crashes: readonly Crash[]): number {
		return this.isRecorded ? crashes.length : countCrashEvents(crashes);
	}

	private countEarlyCrashes(): number {
		return this.countMoments(this.listUnexplained().filter(({hasJustBegun}) => hasJustBegun));
	}

	private getNextBlockMs(): number {
		const extraCrashes = Math.max(0, this.countEarlyCrashes() - earlyCrashesToBlock);
		if (this.isDoubtful) {
			return Math.min(firstBlockMs, doubtfulBlockMs * (2 ** extraCrashes));
		}

		return extraCrashes === 0 || !this.hasContrast ? firstBlockMs : Math.min(maximumBlockMs, secondBlockMs * (2 ** (extraCrashes - 1)));
	}
}
