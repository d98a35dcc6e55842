import {LimitBuckets} from '../balance/limit-buckets.js';
import {type TargetLimits} from '../balance/target-limits.js';
import {type Target} from '../fleet/target.js';
import {type MessageOf} from '../link/message-of.js';

type Wanted = MessageOf<'permit-wanted'>;
type Permit = Pick<MessageOf<'permit'>, 'isGranted' | 'nextMs'>;
type Question = {readonly askedAt: number; readonly resolve: (permit: Permit | undefined) => void};

type PermitOptions = {
	/** Address of this entry's links; peers are named by theirs. */
	readonly address: string;
	/** The one of the entries that are heard, this one included, that keeps something. */
	readonly electEntry: (key: string, now: number) => string;
	readonly limits: TargetLimits;
	/** Addresses of peers that are heard now. */
	readonly listPeers: (now: number) => readonly string[];
	/** Entries that are registered, heard or not, this one included. */
	readonly countRegistered: () => number;
	/** Sends a peer a question; false when there is no way to it. */
	readonly sendToPeer: (peer: string, question: Wanted) => boolean;
	readonly clock: () => number;
};

/** A keeper answers within a few milliseconds; one that has not for so long is not waited for, milliseconds. */
const answerMs = 60;
/** What is kept by an entry that does not answer, or does not take itself for the keeper, is left alone for so long, milliseconds. */
const silentMs = 500;
/** A target that has no permit left is asked for again after so long at most, milliseconds: its limit may have been raised. */
const longestShutMs = 1000;

/**
 * Lets requests go to targets that name limits. For each such target one entry keeps the permits, and the others ask it for one as
 * they want to send: it takes one count to keep to a sum, and whoever has a caller gets the next, so that no part lies idle at an
 * entry without callers. The keeper follows from who is heard; entries that hear fewer than are registered may be cut off from
 * others that go on, and give out their part only.
 */
export class LimitPermits {
	private readonly buckets = new LimitBuckets();
	private readonly questions = new Map<number, Question>();
	/** Until when targets, and those kept by an entry, are not asked for. */
	private readonly shutUntil = new Map<string, number>();
	private readonly silentUntil = new Map<string, number>();
	private lastNumber = 0;

	constructor(private readonly options: PermitOptions) {}

	/** Milliseconds until it makes sense to want a permit for a target; 0 when it does now. */
	getWaitMs(target: string, now: number): number {
		return this.options.limits.get(target) === undefined ? 0 : Math.max(0, (this.shutUntil.get(target) ?? 0) - now);
	}

	/** Takes a permit for a request to a target; gives whether it may be sent. */
	async take({id, bornAt}: Target): Promise<boolean> {
		const {limits, address, clock} = this.options;
		const now = clock();
		const perSecond = limits.get(id);
		if (perSecond === undefined) {
			return true;
		}

		const keeper = this.options.electEntry(id, now);
		const permit = keeper === address
			? this.give(id, perSecond, now)
			: await this.ask(keeper, {
				id, ...(bornAt !== undefined && {bornAt}), perSecond, agoMs: limits.getAge(id, now),
			}, now);
		if (permit === undefined) {
			this.silentUntil.set(keeper, clock() + silentMs);
		}

		this.shutUntil.set(id, clock() + Math.min(longestShutMs, permit?.nextMs ?? silentMs));
		return permit?.isGranted ?? false;
	}

	/** Answers a peer that takes this entry for a target's keeper. */
	handleRequest({number, limit}: Wanted): MessageOf<'permit'> {
		const {limits, address, clock} = this.options;
		const now = clock();
		limits.merge(limit, now);
		const perSecond = limits.get(limit.id);
		if (perSecond === undefined) {
			return {
				type: 'permit', number, isGranted: true, nextMs: 0,
			};
		}

		const permit = this.options.electEntry(limit.id, now) === address ? this.give(limit.id, perSecond, now) : {isGranted: false, nextMs: silentMs};
		return {type: 'permit', number, ...permit};
	}

	/** Takes a keeper's answer. One that comes too late is not used: what it permits was for then. */
	handleAnswer({number, isGranted, nextMs}: MessageOf<'permit'>): void {
		const question = this.questions.get(number);
		const isLate = question !== undefined && this.options.clock() - question.askedAt > answerMs;
		question?.resolve(isLate ? undefined : {isGranted, nextMs});
	}

	/** Gives up on keepers that do not answer, and drops what is not kept here any more. */
	tick(now: number): void {
		for (const {askedAt, resolve} of this.questions.values()) {
			if (now - askedAt > answerMs) {
				resolve(undefined);
			}
		}

		// Who keeps a target again later starts with none: another has given out permits meanwhile.
		this.buckets.tick(now, target => this.options.electEntry(target, now) === this.options.address);
		for (const [target, until] of this.shutUntil) {
			if (now >= until) {
				this.shutUntil.delete(target);
			}
		}
	}

	private give(target: string, perSecond: number, now: number): Permit {
		const {listPeers, countRegistered} = this.options;
		const heard = listPeers(now).length + 1;
		return this.buckets.take({target, perSecond, part: heard / Math.max(heard, countRegistered())}, now);
	}

	private async ask(keeper: string, limit: Wanted['limit'], now: number): Promise<Permit | undefined> {
		const isSilent = now < (this.silentUntil.get(keeper) ?? 0);
		const number = ++this.lastNumber;
		if (isSilent || !this.options.sendToPeer(keeper, {type: 'permit-wanted', number, limit})) {
			return undefined;
		}

		try {
			return await new Promise(resolve => {
				this.questions.set(number, {askedAt: now, resolve});
			});
		} finally {
			this.questions.delete(number);
		}
	}
}
