import {TargetHealth} from '../balance/target-health.js';
import {TargetLimits} from '../balance/target-limits.js';
import {TargetRefusals} from '../balance/target-refusals.js';
import {TargetCooldowns} from '../balance/target-cooldowns.js';
import {type BreakerState} from '../balance/breaker-state.js';
import {TargetDirectory} from '../fleet/target-directory.js';
import {type Target} from '../fleet/target.js';
import {type EntryDigest} from '../mesh/entry-digest.js';
import {type AnswerMetadata} from './answer-metadata.js';
import {LimitPermits} from './limit-permits.js';
import {type UnavailableTarget} from './unavailable-target.js';

/** Lowest status that does not count as serving. */
const minimumFailureStatus = 400;

type Head = {
	readonly target: Target;
	readonly metadata: AnswerMetadata;
	/** When the request that waited for the answer was sent, milliseconds. */
	readonly sentAt: number;
};

type TrackerOptions = Omit<ConstructorParameters<typeof LimitPermits>[0], 'limits'> & {
	/** Returns the requests in flight at a target, over all entries. */
	readonly countInFlight: (target: string) => number;
	/** Called for each request that a target refused; `hasRetryAfter` says whether it sent `Retry-After`. */
	readonly onRefusal: (service: string, hasRetryAfter: boolean) => void;
	/** Called for a target that is leaving, at each answer and each peer's digest that says so; `source` is for the log. */
	readonly onLeave: (target: Pick<Target, 'id' | 'bornAt'>, source: string) => void;
	readonly log: (message: string) => void;
};

/** Tracks the state of targets by their answers and by peers' digests: whether requests may be sent to a target now, and if not, when. */
export class TargetTracker {
	readonly directory = new TargetDirectory();
	readonly health = new TargetHealth();
	readonly refusals: TargetRefusals;
	readonly cooldowns: TargetCooldowns;
	readonly limits: TargetLimits;
	readonly permits: LimitPermits;

	constructor(private readonly options: TrackerOptions) {
		this.refusals = new TargetRefusals(options.log);
		this.cooldowns = new TargetCooldowns(options.log);
		this.limits = new TargetLimits(options.log);
		this.permits = new LimitPermits({...options, limits: this.limits});
	}

	/** Returns the targets of a service that requests may be sent to now. */
	listAvailable(service: string, now: number): readonly Target[] {
		return this.directory.list(service).filter(({id}) => this.findUnavailable(id, now) === undefined);
	}

	/** Whether this incarnation of a target still takes new requests of a service, and does not rest; its rate limit is left to its permits. */
	isServing({id, bornAt}: Target, service: string, now: number): boolean {
		return this.cooldowns.getRemainingMs(id, now) === 0 && this.directory.list(service).some(known => known.id === id && known.bornAt === bornAt);
	}

	/** Returns the targets of a service that are registered but take no requests now. */
	listUnavailable(service: string, now: number): readonly UnavailableTarget[] {
		return this.directory.list(service).map(({id}) => this.findUnavailable(id, now)).filter(unavailable => unavailable !== undefined);
	}

	/** Returns the requests per second that the targets of a service take together; infinite while one of them has no limit. */
	getTotalRate(service: string): number {
		return this.directory.list(service).reduce((sum, {id}) => sum + (this.limits.get(id) ?? Number.POSITIVE_INFINITY), 0);
	}

	/** Returns a target's standing. One with a limit of 0 is 'doubtful', so that it is only probed now and then. */
	getBreakerState(target: string, now: number): BreakerState {
		if (this.health.isAvoided(target, now)) {
			return 'avoided';
		}

		return this.limits.get(target) === 0 ? 'doubtful' : this.refusals.getBreakerState(target, now);
	}

	/** Notes that a request is sent to a target. */
	noteSend(target: string, now: number): void {
		this.cooldowns.noteSend(target, now);
		this.limits.noteSend(target);
	}

	/**
	 * Records what the head of an answer says about its target for later requests: that it serves or refuses, is leaving,
	 * requests a cooldown, or has a rate limit. An answer sent by another target is recorded for that one,
	 * and an answer of an earlier incarnation is ignored.
	 */
	noteAnswerHead({target, metadata, sentAt}: Head, now: number): void {
		const sender = metadata.targetId === undefined || metadata.targetId === target.id ? target : this.directory.get(metadata.targetId);
		if (!sender || this.isOtherIncarnation(sender)) {
			return;
		}

		this.noteServing(sender, metadata, sentAt, now);
		this.limits.noteAnswer(sender, metadata.limit, sentAt, now);
		if (metadata.isLeaving) {
			this.options.onLeave(sender, 'announced in its answers');
		}

		if (metadata.retryAfterMs !== undefined && metadata.retryAfterMs > 0) {
			const inFlight = this.options.countInFlight(sender.id);
			this.cooldowns.start(sender, {
				durationMs: metadata.retryAfterMs, status: metadata.status, retryAfter: metadata.retryAfterText ?? '', inFlight,
			}, now);
		}
	}

	/** Returns the digest to send to peers. */
	getDigest(now: number): EntryDigest {
		const {refusing, recovered} = this.refusals.getDigest(now);
		const leaves = this.directory.listDepartures(now);
		const limits = this.limits.getDigest(now);
		return {
			...(refusing.length > 0 && {refusing: [...refusing]}),
			...(recovered.length > 0 && {recovered: [...recovered]}),
			...(leaves.length > 0 && {leaves}),
			...(limits.length > 0 && {limits}),
		};
	}

	/**
	 * Merges a peer's digest.
	 *
	 * @param isSameZone - whether the peer is in the same availability zone: a target may refuse requests from some zones only
	 */
	mergeDigest(peer: string, {refusing, recovered, leaves, limits}: EntryDigest, isSameZone: boolean, now: number): void {
		if (isSameZone) {
			this.refusals.merge(peer, {refusing: refusing ?? [], recovered: recovered ?? []}, now);
		}

		for (const target of leaves ?? []) {
			this.options.onLeave(target, `reported by ${peer}`);
		}

		for (const limit of limits ?? []) {
			if (!this.isOtherIncarnation(limit)) {
				this.limits.merge(limit, now);
			}
		}
	}

	/** Drops expired state. */
	tick(now: number): void {
		const isKnown = (target: string): boolean => this.directory.get(target) !== undefined;
		this.refusals.tick(now);
		this.cooldowns.tick(now, isKnown);
		this.limits.tick(now, isKnown);
		this.permits.tick(now);
	}

	/** Drops the state of targets that are gone. */
	prune(): void {
		const isKnown = (target: string): boolean => this.directory.get(target) !== undefined;
		this.health.prune(isKnown);
		this.refusals.prune(isKnown);
	}

	/** Drops the state of a target that has restarted. */
	resetTarget(target: string): void {
		this.health.forget(target);
		this.refusals.forget(target);
		this.cooldowns.forget(target);
		this.limits.forget(target);
	}

	private findUnavailable(id: string, now: number): UnavailableTarget | undefined {
		const cooldownMs = this.cooldowns.getRemainingMs(id, now);
		if (cooldownMs > 0) {
			return {id, cause: 'rests', waitMs: cooldownMs};
		}

		const waitMs = this.permits.getWaitMs(id, now);
		return waitMs > 0 ? {id, cause: `limited to ${this.limits.get(id)} requests per second, no permit for`, waitMs} : undefined;
	}

	private isOtherIncarnation({id, bornAt}: Pick<Target, 'id' | 'bornAt'>): boolean {
		const known = this.directory.get(id);
		return known !== undefined && known.bornAt !== bornAt;
	}

	private noteServing({id, service}: Target, {status, isNotRun, isGroupDown, isMisdirected, retryAfterMs}: AnswerMetadata, sentAt: number, now: number): void {
		if (isNotRun && !isGroupDown && !isMisdirected) {
			this.refusals.noteRefusal(id, now);
			this.options.onRefusal(service, retryAfterMs !== undefined);
		} else if (status < minimumFailureStatus) {
			this.refusals.noteServing(id, sentAt, now);
		}
	}
}
