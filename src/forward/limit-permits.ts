import {LimitBuckets} from '../balance/limit-buckets.js';
import {type TargetLimits} from '../balance/target-limits.js';
import {type Target} from '../fleet/target.js';
import {type MessageOf} from '../link/message-of.js';

type Wanted = MessageOf<'permit-wanted'>;
type Permit = Pick<MessageOf<'permit'>, 'isGranted' | 'nextMs'>;
type PendingRequest = {readonly sentAt: number; readonly resolve: (permit: Permit | undefined) => void};

type PermitOptions = {
	/** Link address of this entry; peers are identified by theirs. */
	readonly address: string;
	/** Returns the link address of the live entry (this one included) that owns `key`. */
	readonly electEntry: (key: string, now: number) => string;
	readonly limits: TargetLimits;
	/** Link addresses of the live peers. */
	readonly listPeers: (now: number) => readonly string[];
	/** Number of registered entries, live or not, this one included. */
	readonly countRegistered: () => number;
	/** Sends a request to a peer; false when there is no link to it. */
	readonly sendToPeer: (peer: string, message: Wanted) => boolean;
	readonly clock: () => number;
};

/** How long an answer of the owner is waited for, milliseconds; it usually takes a few. */
const answerTimeoutMs = 60;
/** How long an owner is not asked again after it did not answer, or denied being the owner, milliseconds. */
const ownerRetryMs = 500;
/** Longest time for which no permit is requested for a target that had none left, milliseconds: its limit may have been raised. */
const maximumBlockMs = 1000;

/**
 * Enforces the rate limits of targets over all entries. For each rate-limited target one entry, the owner, counts the
 * permits, and the others request one from it before each send: a single count is needed to enforce the sum, and no share
 * is unused at an entry without callers. The owner is elected among the live entries. Entries that see fewer entries live
 * than are registered may be partitioned from the others, so they grant only their share of the limit.
 */
export class LimitPermits {
	private readonly buckets = new LimitBuckets();
	/** By message number. */
	private readonly pending = new Map<number, PendingRequest>();
	/** By target, until when no permit is requested, milliseconds. */
	private readonly blockedUntil = new Map<string, number>();
	/** By owner, until when it is not asked, milliseconds. */
	private readonly unresponsiveUntil = new Map<string, number>();
	private lastNumber = 0;

	constructor(private readonly options: PermitOptions) {}

	/** Time until a permit for a target may be requested, milliseconds; 0 when it may be now, or none is needed. */
	getWaitMs(target: string, now: number): number {
		return this.options.limits.get(target) === undefined ? 0 : Math.max(0, (this.blockedUntil.get(target) ?? 0) - now);
	}

	/** Takes a permit for one request to a target; resolves with whether the request may be sent. */
	async take({id, bornAt}: Target): Promise<boolean> {
		const {limits, address, clock} = this.options;
		const now = clock();
		const perSecond = limits.get(id);
		if (perSecond === undefined) {
			return true;
		}

		const owner = this.options.electEntry(id, now);
		const permit = owner === address
			? this.grant(id, perSecond, now)
			: await this.requestPermit(owner, {
				id, ...(bornAt !== undefined && {bornAt}), perSecond, agoMs: limits.getAgeMs(id, now),
			}, now);
		if (permit === undefined) {
			this.unresponsiveUntil.set(owner, clock() + ownerRetryMs);
		}

		this.blockedUntil.set(id, clock() + Math.min(maximumBlockMs, permit?.nextMs ?? ownerRetryMs));
		return permit?.isGranted ?? false;
	}

	/** Answers a peer that requests a permit from this entry. */
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

		const permit = this.options.electEntry(limit.id, now) === address ? this.grant(limit.id, perSecond, now) : {isGranted: false, nextMs: ownerRetryMs};
		return {type: 'permit', number, ...permit};
	}

	/** Handles an owner's answer. A late one is ignored: its permit was for the time when it was requested. */
	handleAnswer({number, isGranted, nextMs}: MessageOf<'permit'>): void {
		const request = this.pending.get(number);
		const isLate = request !== undefined && this.options.clock() - request.sentAt > answerTimeoutMs;
		request?.resolve(isLate ? undefined : {isGranted, nextMs});
	}

	/** Times out pending requests, and drops the permits of targets that this entry does not own any more. */
	tick(now: number): void {
		for (const {sentAt, resolve} of this.pending.values()) {
			if (now - sentAt > answerTimeoutMs) {
				resolve(undefined);
			}
		}

		// An entry that becomes the owner again starts without permits: another has granted some meanwhile.
		this.buckets.tick(now, target => this.options.electEntry(target, now) === this.options.address);
		for (const [target, until] of this.blockedUntil) {
			if (now >= until) {
				this.blockedUntil.delete(target);
			}
		}
	}

	private grant(target: string, perSecond: number, now: number): Permit {
		const {listPeers, countRegistered} = this.options;
		const live = listPeers(now).length + 1;
		return this.buckets.take({target, perSecond, share: live / Math.max(live, countRegistered())}, now);
	}

	private async requestPermit(owner: string, limit: Wanted['limit'], now: number): Promise<Permit | undefined> {
		const isUnresponsive = now < (this.unresponsiveUntil.get(owner) ?? 0);
		const number = ++this.lastNumber;
		if (isUnresponsive || !this.options.sendToPeer(owner, {type: 'permit-wanted', number, limit})) {
			return undefined;
		}

		try {
			return await new Promise(resolve => {
				this.pending.set(number, {sentAt: now, resolve});
			});
		} finally {
			this.pending.delete(number);
		}
	}
}
