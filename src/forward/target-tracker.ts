import {TargetHealth} from '../balance/target-health.js';
import {TargetLimits} from '../balance/target-limits.js';
import {TargetRefusals} from '../balance/target-refusals.js';
import {TargetRests} from '../balance/target-rests.js';
import {type TargetStanding} from '../balance/target-standing.js';
import {TargetDirectory} from '../fleet/target-directory.js';
import {type Target} from '../fleet/target.js';
import {type EntryDigest} from '../mesh/entry-digest.js';
import {type AnswerMetadata} from './answer-metadata.js';
import {LimitPermits} from './limit-permits.js';
import {type UnavailableTarget} from './unavailable-target.js';

/** First status of answers that bring nothing that was asked for. */
const leastFailure = 400;

type Head = {
	readonly target: Target;
	readonly marks: AnswerMetadata;
	/** When the request was sent that the answer was waited for, milliseconds. */
	readonly sentAt: number;
};

type BookOptions = Omit<ConstructorParameters<typeof LimitPermits>[0], 'limits'> & {
	/** Requests in flight at a target over all entries. */
	readonly countInFlight: (target: string) => number;
	/** Told of each request that a target turned away, and whether it asked for rest. */
	readonly onRefusal: (service: string, isRestAsked: boolean) => void;
	/** Told of a target that leaves, at each of its answers that say so, and as peers have heard it. */
	readonly onLeave: (target: Pick<Target, 'id' | 'bornAt'>, source: string) => void;
	readonly log: (message: string) => void;
};

/** What this entry knows of targets, by their answers and its peers' words: whether one may be sent a request now, and if not, when. */
export class TargetTracker {
	readonly directory = new TargetDirectory();
	readonly health = new TargetHealth();
	readonly refusals: TargetRefusals;
	readonly rests: TargetRests;
	readonly limits: TargetLimits;
	readonly permits: LimitPermits;

	constructor(private readonly options: BookOptions) {
		this.refusals = new TargetRefusals(options.log);
		this.rests = new TargetRests(options.log);
		this.limits = new TargetLimits(options.log);
		this.permits = new LimitPermits({...options, limits: this.limits});
	}

	/** Targets of a service that may be sent something now. */
	listAvailable(service: string, now: number): readonly Target[] {
		return this.directory.list(service).filter(({id}) => this.getShut(id, now) === undefined);
	}

	/** Those of a service that may not be, though they take requests otherwise. */
	listUnavailable(service: string, now: number): readonly UnavailableTarget[] {
		return this.directory.list(service).map(({id}) => this.getShut(id, now)).filter(shut => shut !== undefined);
	}

	/** Requests per second that the targets of a service take together; infinite while one of them names no limit. */
	getTotalRate(service: string): number {
		return this.directory.list(service).reduce((sum, {id}) => sum + (this.limits.get(id) ?? Number.POSITIVE_INFINITY), 0);
	}

	/** How a target stands now. One that takes nothing is asked now and then only, to see whether it does again. */
	getStanding(target: string, now: number): TargetStanding {
		if (this.health.isAvoided(target, now)) {
			return 'avoided';
		}

		return this.limits.get(target) === 0 ? 'doubtful' : this.refusals.getStanding(target, now);
	}

	/** Notes that a request is sent to a target. */
	noteSend(target: string, now: number): void {
		this.rests.noteSend(target, now);
		this.limits.noteSend(target);
	}

	/**
	 * Takes what the head of an answer says of its target for all requests to come, whatever became of the request it answers: that it
	 * serves or refuses, leaves, wants to rest, or takes so many requests a second only. An answer in another target's name says nothing
	 * of the one that was meant, and one of a life that has ended nothing of the present one.
	 */
	noteAnswerHead({target, marks, sentAt}: Head, now: number): void {
		const speaker = marks.targetId === undefined || marks.targetId === target.id ? target : this.directory.get(marks.targetId);
		if (!speaker || this.isOtherLife(speaker)) {
			return;
		}

		this.noteServing(speaker, marks, sentAt, now);
		this.limits.note(speaker, marks.limit, sentAt, now);
		if (marks.isLeaving) {
			this.options.onLeave(speaker, 'it says so in its answers');
		}

		if (marks.retryAfterMs !== undefined && marks.retryAfterMs > 0) {
			const inFlight = this.options.countInFlight(speaker.id);
			this.rests.begin(speaker, {
				restMs: marks.retryAfterMs, status: marks.status, retryAfter: marks.retryAfterText ?? '', inFlight,
			}, now);
		}
	}

	/** What peers are told. */
	getDigest(now: number): EntryDigest {
		const {refusing, recovered} = this.refusals.getDigest(now);
		const leaves = this.directory.listLeaves(now);
		const limits = this.limits.getDigest(now);
		return {
			...(refusing.length > 0 && {refusing: [...refusing]}),
			...(recovered.length > 0 && {recovered: [...recovered]}),
			...(leaves.length > 0 && {leaves}),
			...(limits.length > 0 && {limits}),
		};
	}

	/**
	 * Takes what a peer tells.
	 *
	 * @param isNear - whether the peer is in the same zone: a target may refuse the callers of some zones only
	 */
	mergeDigest(peer: string, {refusing, recovered, leaves, limits}: EntryDigest, isNear: boolean, now: number): void {
		if (isNear) {
			this.refusals.merge(peer, {refusing: refusing ?? [], recovered: recovered ?? []}, now);
		}

		for (const target of leaves ?? []) {
			this.options.onLeave(target, `${peer} has heard so`);
		}

		for (const limit of limits ?? []) {
			if (!this.isOtherLife(limit)) {
				this.limits.merge(limit, now);
			}
		}
	}

	/** Drops what is over. */
	tick(now: number): void {
		const isKnown = (target: string): boolean => this.directory.get(target) !== undefined;
		this.refusals.tick(now);
		this.rests.tick(now, isKnown);
		this.limits.tick(now, isKnown);
		this.permits.tick(now);
	}

	/** Forgets targets that are gone. */
	prune(): void {
		const isKnown = (target: string): boolean => this.directory.get(target) !== undefined;
		this.health.prune(isKnown);
		this.refusals.prune(isKnown);
	}

	/** Forgets the former life of a target that has started again. */
	resetTarget(target: string): void {
		this.health.forget(target);
		this.refusals.forget(target);
		this.rests.forget(target);
		this.limits.forget(target);
	}

	private getShut(id: string, now: number): UnavailableTarget | undefined {
		const restMs = this.rests.getRemaining(id, now);
		if (restMs > 0) {
			return {id, cause: 'rests', waitMs: restMs};
		}

		const waitMs = this.permits.getWaitMs(id, now);
		return waitMs > 0 ? {id, cause: `takes ${this.limits.get(id)} a second, nothing for`, waitMs} : undefined;
	}

	private isOtherLife({id, bornAt}: Pick<Target, 'id' | 'bornAt'>): boolean {
		const known = this.directory.get(id);
		return known !== undefined && known.bornAt !== bornAt;
	}

	private noteServing({id, service}: Target, {status, isNotRun, isGroupDown, isMisdirected, retryAfterMs: restMs}: AnswerMetadata, sentAt: number, now: number): void {
		if (isNotRun && !isGroupDown && !isMisdirected) {
			this.refusals.noteRefusal(id, now);
			this.options.onRefusal(service, restMs !== undefined);
		} else if (status < leastFailure) {
			this.refusals.noteServing(id, sentAt, now);
		}
	}
}
