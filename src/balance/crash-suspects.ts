import {type Target} from '../fleet/target.js';
import {type CrashDigest} from './crash-digest.js';

/** One life of a target. */
type Incarnation = Pick<Target, 'id' | 'bornAt'>;
type LostRequest = {readonly fingerprint: string; readonly incarnation: Incarnation; readonly hasJustBegun: boolean};
type LossRecord = LostRequest & {readonly at: number};
/** Lives that have crashed as they ran the request, and whether they had just begun to. */
type Suspect = {readonly lives: Map<string, boolean>; blockedUntil: number; changedAt: number; seenAt: number};

/**
 * A request whose target crashed may have been one of several that ran there. So many targets that crashed as they had just begun to run
 * it accuse it, or so many at all: one that has run for longer may have met the crash of another.
 */
const earlyCrashesToBlock = 2;
const crashesToBlock = 5;
/**
 * How long a request that has crashed so many targets is refused, milliseconds; from the third one on, each crash doubles it. The
 * first is short, since two targets may also crash one after the other by themselves.
 */
const firstBlockMs = 10_000;
const secondBlockMs = 120_000;
const maximumBlockMs = 3_600_000;
/** A target that has crashed shows a new life within this time, milliseconds; what was lost there before is laid to something else. */
const lossRetentionMs = 10_000;
/** Peers are told what is new for so long, milliseconds: two of the longest times between two reports, and more. */
const digestRetentionMs = 3000;
/** Suspects that have neither come nor crashed a target for so long are forgotten, milliseconds. */
const suspectRetentionMs = 3_600_000;
/** Suspects, losses, and requests that are known to be answered, that are kept at most; of more the oldest go. */
const maximumSuspects = 1000;
const maximumLosses = 1000;
const maximumAnswered = 4096;
/** Suspects that one report names at most. */
const maximumDigestItems = 40;
/** Lives that are kept of one suspect. */
const maximumIncarnations = 8;

const formatIncarnation = ({id, bornAt}: Incarnation): string => bornAt === undefined ? id : `${id} ${bornAt}`;
const countEarlyCrashes = ({lives}: Pick<Suspect, 'lives'>): number => [...lives.values()].filter(Boolean).length;
const isSuspected = (suspect: Pick<Suspect, 'lives'>): boolean => countEarlyCrashes(suspect) >= earlyCrashesToBlock || suspect.lives.size >= crashesToBlock;
const evictOldest = (kept: Map<string, unknown> | Set<string>, most: number): void => {
	const [oldest] = kept.keys();
	if (kept.size > most) {
		kept.delete(oldest);
	}
};

/**
 * Pattern: a request crashes each target that begins to run it, and comes again. Sent on and on, it takes down one target after
 * the other, and what else they run with them.
 *
 * Every request that runs at a crash is a suspect; what others have asked for often, or goes on to be answered, is cleared.
 * Entries tell each other of both, so that the request is known wherever it comes again.
 */
export class CrashSuspects {
	private readonly suspects = new Map<string, Suspect>();
	private readonly answered = new Set<string>();
	/** Requests that were cleared of a suspicion, and when. */
	private readonly cleared = new Map<string, number>();
	private losses: LossRecord[] = [];

	constructor(private readonly log: (message: string) => void) {}

	/**
	 * Whether a request is to be refused. Once its time is over, it is let through once, to see whether it still crashes its target.
	 *
	 * @param mayTry - whether it is for this entry to see that, and not for one of its peers
	 * @returns milliseconds for which it is refused; 0 when it may be sent
	 */
	getBlockMs(fingerprint: string, mayTry: () => boolean, now: number): number {
		const suspect = this.suspects.get(fingerprint);
		if (!suspect) {
			return 0;
		}

		suspect.seenAt = now;
		if (!isSuspected(suspect)) {
			return 0;
		}

		if (now < suspect.blockedUntil) {
			return suspect.blockedUntil - now;
		}

		if (!mayTry()) {
			return firstBlockMs;
		}

		suspect.blockedUntil = now + firstBlockMs;
		return 0;
	}

	/** Notes that a target has answered a request to its end: it does not crash those that run it. */
	noteAnswered(fingerprint: string, now: number): void {
		this.answered.delete(fingerprint);
		this.answered.add(fingerprint);
		evictOldest(this.answered, maximumAnswered);
		this.clear(fingerprint, now);
	}

	/** Notes that a request's connection ended before its answer; what for, its target's next life may tell. */
	noteLoss(lost: LostRequest, now: number): void {
		this.losses = this.losses.filter(({at}) => now - at <= lossRetentionMs).slice(-maximumLosses);
		this.losses.push({...lost, at: now});
	}

	/** Notes that a target has crashed: what it ran was lost by that. Gives whether that accuses any request. */
	noteCrash(target: string, now: number): boolean {
		const lost = this.losses.filter(({incarnation: life, at}) => life.id === target && now - at <= lossRetentionMs);
		this.losses = this.losses.filter(loss => !lost.includes(loss));
		for (const {fingerprint, incarnation: life, hasJustBegun} of lost) {
			this.addCrashes(fingerprint, [[formatIncarnation(life), hasJustBegun]], now);
		}

		return lost.length > 0;
	}

	/**
	 * What peers are told.
	 *
	 * @param isWhole - whether the peer may have heard nothing yet
	 */
	getDigest(isWhole: boolean, now: number): CrashDigest {
		const told = [...this.suspects].filter(([, {changedAt, blockedUntil}]) => now - changedAt <= digestRetentionMs || (isWhole && blockedUntil > now)).slice(-maximumDigestItems);
		const cleared = [...this.cleared].filter(([, at]) => now - at <= digestRetentionMs).slice(-maximumDigestItems).map(([fingerprint]) => fingerprint);
		return {
			...(told.length > 0 && {
				suspects: Object.fromEntries(told.map(([fingerprint, {lives}]) => [fingerprint, [...lives.keys()]])),
				met: Object.fromEntries(told.map(([fingerprint, {lives}]) => [fingerprint, [...lives].filter(([, hasJustBegun]) => !hasJustBegun).map(([life]) => life)])),
			}),
			...(cleared.length > 0 && {cleared}),
		};
	}

	/** Takes what a peer tells. What this entry knows to be answered it clears, and so tells the others. */
	merge({suspects, met, cleared}: CrashDigest, now: number): void {
		for (const fingerprint of cleared ?? []) {
			this.noteAnswered(fingerprint, now);
		}

		for (const [fingerprint, lives] of Object.entries(suspects ?? {})) {
			this.addCrashes(fingerprint, lives.map(life => [life, !met?.[fingerprint]?.includes(life)]), now);
		}
	}

	/** Forgets what is old. */
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

	private addCrashes(fingerprint: string, lives: ReadonlyArray<readonly [string, boolean]>, now: number): void {
		if (this.answered.has(fingerprint)) {
			this.cleared.set(fingerprint, now);
			return;
		}

		const suspect = this.suspects.get(fingerprint) ?? {
			lives: new Map<string, boolean>(), blockedUntil: 0, changedAt: now, seenAt: now,
		};
		const isNew = lives.some(([life]) => !suspect.lives.has(life));
		for (const [life, hasJustBegun] of lives) {
			suspect.lives.set(life, hasJustBegun);
			evictOldest(suspect.lives, maximumIncarnations);
		}

		this.suspects.set(fingerprint, suspect);
		evictOldest(this.suspects, maximumSuspects);
		if (isNew) {
			suspect.changedAt = now;
			suspect.seenAt = now;
			this.block(fingerprint, suspect, now);
		}
	}

	private block(fingerprint: string, suspect: Suspect, now: number): void {
		if (!isSuspected(suspect)) {
			return;
		}

		const more = countEarlyCrashes(suspect) - earlyCrashesToBlock;
		const blockMs = more <= 0 ? firstBlockMs : Math.min(maximumBlockMs, secondBlockMs * (2 ** (more - 1)));
		suspect.blockedUntil = now + blockMs;
		this.log(`request ${fingerprint} is refused for ${blockMs} ms: targets crashed as they ran it (${[...suspect.lives.keys()].join(', ')})`);
	}

	private clear(fingerprint: string, now: number): void {
		const suspect = this.suspects.get(fingerprint);
		if (!suspect) {
			return;
		}

		this.suspects.delete(fingerprint);
		this.cleared.set(fingerprint, now);
		if (suspect.blockedUntil > now) {
			this.log(`request ${fingerprint} is not refused any more: a target has answered it`);
		}
	}
}
