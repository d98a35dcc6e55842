import {countCrashEvents} from './count-crash-events.js';
import {type CrashDigest} from './crash-digest.js';
import {CrashRecord} from './crash-record.js';
import {evictOldest} from './evict-oldest.js';
import {formatIncarnation} from './format-incarnation.js';
import {type LostRequest} from './lost-request.js';

type Crash = {
	/** When it was learned, milliseconds. */
	readonly at: number;
	/** Whether the request had just started there. */
	readonly hasJustBegun: boolean;
	/** Whether the request was sent there after an earlier crash was known. */
	readonly isTried: boolean;
};

/** A request, and the incarnations that crashed while they ran it. Times in milliseconds. */
type Suspect = {
	readonly incarnations: Map<string, Crash>;
	/** Whether requests unlike it fare better, as this entry or another one has found. */
	isConfirmed: boolean;
	/** Whether it was refused as the store says: its crashes were learned at once, so that their moments are not known. */
	isRecorded: boolean;
	blockedUntil: number;
	changedAt: number;
	seenAt: number;
};

type Question = {
	/** Whether this entry, rather than a peer, may send a probe. */
	readonly mayProbe: () => boolean;
	/** Whether requests unlike this one fare better, so that it explains crashes. */
	readonly isTelling: () => boolean;
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
/**
 * A request that crashes its target does so as it begins to run, milliseconds; one that has been answered for longer
 * was only lost in the crash.
 */
const crashWindowMs = 100;
/** Time for which a change is included in reports to peers, milliseconds: more than twice the maximum interval between reports. */
const digestRetentionMs = 3000;
/** Suspects that were neither requested nor lost in a crash for this time are evicted, milliseconds. */
const suspectRetentionMs = 3_600_000;
/** Maximum number of suspects and answered requests kept; beyond it the oldest are evicted. */
const maximumSuspects = 1000;
const maximumAnswered = 4096;
/** Maximum number of suspects, and of cleared requests, in one report. */
const maximumDigestItems = 40;
/** Maximum number of incarnations kept for each suspect. */
const maximumIncarnations = 8;

const countMoments = ({isRecorded}: Suspect, crashes: readonly Crash[]): number => isRecorded ? crashes.length : countCrashEvents(crashes);
const listMet = ({incarnations}: Suspect): string[] => [...incarnations].filter(([, {hasJustBegun}]) => !hasJustBegun).map(([name]) => name);
const listRepeated = ({incarnations}: Suspect): string[] => [...incarnations].filter(([, {isTried}]) => isTried).map(([name]) => name);

/**
 * Detects requests that crash the targets that run them, and blocks them. Without it, such a request takes down one target after
 * the other when it is retried or sent again, and with each target all other requests that run there.
 *
 * Every request that runs on a target when it crashes becomes a suspect. A request that was answered before, or is answered later,
 * is cleared. Entries exchange suspects and cleared requests, so that a request is recognised at every entry.
 */
export class CrashSuspects {
	private readonly suspects = new Map<string, Suspect>();
	private readonly answered = new Set<string>();
	/** Requests that are no longer suspects, and when they were cleared, milliseconds. */
	private readonly cleared = new Map<string, number>();
	/** Requests that were refused by an entry, as the store says. */
	private readonly recorded = new Set<string>();
	/** Requests whose records in the store are out of date. */
	private readonly unsaved = new Set<string>();

	/** @param isExplained - whether something else is known to be the cause of an incarnation's crash */
	constructor(private readonly isExplained: (incarnation: string) => boolean, private readonly log: (message: string) => void) {}

	/**
	 * Gets for how long a request is refused. When its block is over, one request is let through as a probe.
	 *
	 * @returns milliseconds for which the request is refused; 0 when it may be sent
	 */
	getBlockMs(fingerprint: string, {mayProbe, isTelling}: Question, now: number): number {
		const suspect = this.suspects.get(fingerprint);
		if (!suspect) {
			return 0;
		}

		suspect.seenAt = now;
		if (!this.isSuspected(suspect)) {
			return 0;
		}

		if (!suspect.isConfirmed && isTelling()) {
			suspect.isConfirmed = true;
			this.block(fingerprint, suspect, now);
			this.noteUnsaved(fingerprint);
		}

		if (now < suspect.blockedUntil) {
			return suspect.blockedUntil - now;
		}

		const {isConfirmed, blockedUntil} = suspect;
		if (!mayProbe() && (isConfirmed || now < blockedUntil + electedProbeMs)) {
			return isConfirmed ? firstBlockMs : probeWaitMs;
		}

		suspect.blockedUntil = now + (this.isDoubtful(suspect) ? doubtfulBlockMs : firstBlockMs);
		return 0;
	}

	/** Whether a request was lost in a crash and has not been answered since. */
	has(fingerprint: string): boolean {
		return this.suspects.has(fingerprint);
	}

	/** Notes that a target has answered a request completely, so that it is not a cause of crashes. */
	noteAnswered(fingerprint: string, now: number): void {
		const isRecorded = this.getRecord(fingerprint) !== undefined;
		this.clearAnswered(fingerprint, now);
		if (isRecorded) {
			this.noteUnsaved(fingerprint);
		}
	}

	/** Notes that a target has crashed while it ran these requests. */
	noteCrash(lostRequests: readonly LostRequest[], now: number): void {
		for (const {fingerprint, incarnation, answeringMs, isRepeated} of lostRequests) {
			const hasJustBegun = answeringMs === undefined || answeringMs <= crashWindowMs;
			this.addCrashes(fingerprint, [[formatIncarnation(incarnation), {at: now, hasJustBegun, isTried: isRepeated}]], now);
			if (this.getRecord(fingerprint)) {
				this.noteUnsaved(fingerprint);
			}
		}
	}

	/** Takes a request whose record in the store is out of date; undefined if there is none. */
	takeUnsaved(): string | undefined {
		const [fingerprint] = this.unsaved;
		this.unsaved.delete(fingerprint);
		return fingerprint;
	}

	/** Notes that the record of a request in the store is out of date. */
	noteUnsaved(fingerprint: string): void {
		this.unsaved.add(fingerprint);
		evictOldest(this.unsaved, maximumSuspects);
	}

	/** Gets what the store is to hold of a request; undefined if nothing, since it is not refused. */
	getRecord(fingerprint: string): CrashRecord | undefined {
		const suspect = this.suspects.get(fingerprint);
		return suspect && this.isSuspected(suspect) && !this.isDoubtful(suspect) ? {incarnations: [...suspect.incarnations.keys()], met: listMet(suspect)} : undefined;
	}

	/** Merges the record of a request that was read from the store. Throws if it is not valid. */
	mergeRecord(fingerprint: string, document: unknown, now: number): void {
		const {incarnations, met} = CrashRecord.parse(document);
		this.recorded.add(fingerprint);
		evictOldest(this.recorded, maximumSuspects);
		this.merge({suspects: {[fingerprint]: incarnations}, met: {[fingerprint]: met}}, now);
	}

	/** Lists the requests of which lost records are written again: none, since most are blocked for less time than records are kept. */
	listRecorded(): string[] {
		return [];
	}

	/**
	 * Gets the digest for peers.
	 *
	 * @param isFull - whether to include all blocked requests, for a peer that may not have received any report yet
	 */
	getDigest(isFull: boolean, now: number): CrashDigest {
		const reported = [...this.suspects].filter(([, {changedAt, blockedUntil}]) => now - changedAt <= digestRetentionMs || (isFull && blockedUntil > now)).slice(-maximumDigestItems);
		const cleared = [...this.cleared].filter(([, at]) => now - at <= digestRetentionMs).slice(-maximumDigestItems).map(([fingerprint]) => fingerprint);
		return {
			...(reported.length > 0 && {
				suspects: Object.fromEntries(reported.map(([fingerprint, {incarnations}]) => [fingerprint, [...incarnations.keys()]])),
				met: Object.fromEntries(reported.map(([fingerprint, suspect]) => [fingerprint, listMet(suspect)])),
				repeated: Object.fromEntries(reported.map(([fingerprint, suspect]) => [fingerprint, listRepeated(suspect)] as const).filter(([, repeated]) => repeated.length > 0)),
			}),
			...(cleared.length > 0 && {cleared}),
		};
	}

	/** Merges a peer's digest. Suspects that this entry knows to be answered are cleared, and reported as such to the peers. */
	merge({suspects, met, repeated, cleared}: CrashDigest, now: number): void {
		for (const fingerprint of cleared ?? []) {
			this.clearAnswered(fingerprint, now);
		}

		for (const [fingerprint, incarnations] of Object.entries(suspects ?? {})) {
			this.addCrashes(fingerprint, incarnations.map(incarnation => [incarnation, {
				at: now, hasJustBegun: !met?.[fingerprint]?.includes(incarnation), isTried: repeated?.[fingerprint]?.includes(incarnation) ?? false,
			}]), now);
		}
	}

	/** Evicts entries that have expired. */
	tick(now: number): void {
		for (const [fingerprint, {seenAt}] of this.suspects) {
			if (now - seenAt > suspectRetentionMs) {
				this.suspects.delete(fingerprint);
			}
		}

		for (const [fingerprint, at] of this.cleared) {
			if (now - at > digestRetentionMs) {
				this.cleared.delete(fingerprint);
			}
		}
	}

	private clearAnswered(fingerprint: string, now: number): void {
		this.answered.delete(fingerprint);
		this.answered.add(fingerprint);
		evictOldest(this.answered, maximumAnswered);
		this.clear(fingerprint, now);
	}

	private addCrashes(fingerprint: string, incarnations: ReadonlyArray<readonly [string, Crash]>, now: number): void {
		if (this.answered.has(fingerprint)) {
			this.cleared.set(fingerprint, now);
			return;
		}

		const suspect = this.suspects.get(fingerprint) ?? {
			incarnations: new Map<string, Crash>(), isConfirmed: false, isRecorded: false, blockedUntil: 0, changedAt: now, seenAt: now,
		};
		const isNew = incarnations.some(([incarnation, {isTried}]) => !suspect.incarnations.has(incarnation) || (isTried && !suspect.incarnations.get(incarnation)?.isTried));
		for (const [incarnation, crash] of incarnations) {
			const known = suspect.incarnations.get(incarnation);
			suspect.incarnations.set(incarnation, {at: known?.at ?? crash.at, hasJustBegun: crash.hasJustBegun, isTried: crash.isTried || (known?.isTried ?? false)});
			evictOldest(suspect.incarnations, maximumIncarnations);
		}

		suspect.isRecorded ||= this.recorded.has(fingerprint);
		suspect.isConfirmed ||= suspect.isRecorded;

		this.suspects.set(fingerprint, suspect);
		evictOldest(this.suspects, maximumSuspects);
		if (isNew) {
			suspect.changedAt = now;
			suspect.seenAt = now;
			this.block(fingerprint, suspect, now);
		}
	}

	private listUnexplained({incarnations}: Suspect): Crash[] {
		return [...incarnations].filter(([incarnation]) => !this.isExplained(incarnation)).map(([, crash]) => crash);
	}

	private countEarlyCrashes(suspect: Suspect): number {
		return countMoments(suspect, this.listUnexplained(suspect).filter(({hasJustBegun}) => hasJustBegun));
	}

	private isSuspected(suspect: Suspect): boolean {
		return this.countEarlyCrashes(suspect) >= earlyCrashesToBlock || countMoments(suspect, this.listUnexplained(suspect)) >= crashesToBlock;
	}

	/* Whether its targets may as well have crashed for a cause that they share. */
	private isDoubtful(suspect: Suspect): boolean {
		const crashes = this.listUnexplained(suspect);
		return !suspect.isConfirmed && countMoments(suspect, crashes) < crashes.length;
	}

	private getNextBlockMs(suspect: Suspect): number {
		const extraCrashes = Math.max(0, this.countEarlyCrashes(suspect) - earlyCrashesToBlock);
		if (this.isDoubtful(suspect)) {
			return Math.min(firstBlockMs, doubtfulBlockMs * (2 ** extraCrashes));
		}

		return extraCrashes === 0 || !suspect.isConfirmed ? firstBlockMs : Math.min(maximumBlockMs, secondBlockMs * (2 ** (extraCrashes - 1)));
	}

	private block(fingerprint: string, suspect: Suspect, now: number): void {
		if (!this.isSuspected(suspect)) {
			return;
		}

		const blockMs = this.getNextBlockMs(suspect);
		suspect.blockedUntil = now + blockMs;
		this.log(`request ${fingerprint} is refused for ${blockMs} ms: targets crashed while they ran it (${[...suspect.incarnations.keys()].join(', ')})`);
	}

	private clear(fingerprint: string, now: number): void {
		const suspect = this.suspects.get(fingerprint);
		if (!suspect) {
			return;
		}

		this.suspects.delete(fingerprint);
		this.recorded.delete(fingerprint);
		this.cleared.set(fingerprint, now);
		if (suspect.blockedUntil > now) {
			this.log(`request ${fingerprint} is no longer refused: a target has answered it`);
		}
	}
}
