import {type CrashDigest} from './crash-digest.js';
import {CrashRecord} from './crash-record.js';
import {CrashSuspect} from './crash-suspect.js';
import {evictOldest} from './evict-oldest.js';
import {formatIncarnation} from './format-incarnation.js';
import {type LostRequest} from './lost-request.js';

type Crashes = Parameters<CrashSuspect['addCrashes']>[0];
type Question = {
	/** Whether this entry, rather than a peer, may send a probe. */
	readonly mayProbe: () => boolean;
	/** Whether requests unlike this one fare better, so that it explains crashes. */
	readonly isTelling: () => boolean;
};

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

/**
 * Detects requests that crash the targets that run them, and blocks them. Without it, such a request takes down one target after
 * the other when it is retried or sent again, and with each target all other requests that run there.
 *
 * Every request that runs on a target when it crashes becomes a suspect. A request that was answered before, or is answered later,
 * is cleared. Entries exchange suspects and cleared requests, so that a request is recognised at every entry.
 */
export class CrashSuspects {
	private readonly suspects = new Map<string, CrashSuspect>();
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
		if (!suspect.isSuspected) {
			return 0;
		}

		if (!suspect.isConfirmed && isTelling()) {
			suspect.confirm();
			this.block(fingerprint, suspect, now);
			this.noteUnsaved(fingerprint);
		}

		return suspect.takeWaitMs(mayProbe, now);
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
		return suspect?.isSuspected && !suspect.isDoubtful ? {incarnations: suspect.listIncarnations(), met: suspect.listMet()} : undefined;
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
				suspects: Object.fromEntries(reported.map(([fingerprint, suspect]) => [fingerprint, suspect.listIncarnations()])),
				met: Object.fromEntries(reported.map(([fingerprint, suspect]) => [fingerprint, suspect.listMet()])),
				repeated: Object.fromEntries(reported.map(([fingerprint, suspect]) => [fingerprint, suspect.listRepeated()] as const).filter(([, repeated]) => repeated.length > 0)),
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

	private addCrashes(fingerprint: string, crashes: Crashes, now: number): void {
		if (this.answered.has(fingerprint)) {
			this.cleared.set(fingerprint, now);
			return;
		}

		const suspect = this.suspects.get(fingerprint) ?? new CrashSuspect(this.isExplained, now);
		const isNew = suspect.addCrashes(crashes);
		if (this.recorded.has(fingerprint)) {
			suspect.noteRecorded();
		}

		this.suspects.set(fingerprint, suspect);
		evictOldest(this.suspects, maximumSuspects);
		if (isNew) {
			suspect.changedAt = now;
			suspect.seenAt = now;
			this.block(fingerprint, suspect, now);
		}
	}

	private block(fingerprint: string, suspect: CrashSuspect, now: number): void {
		const blockMs = suspect.block(now);
		if (blockMs !== undefined) {
			this.log(`request ${fingerprint} is refused for ${blockMs} ms: targets crashed while they ran it (${suspect.listIncarnations().join(', ')})`);
		}
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
