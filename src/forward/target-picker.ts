import {chooseReplica} from '../balance/choose-replica.js';
import {type InFlightCounts} from '../balance/in-flight-counts.js';
import {type ProbeBudget} from '../balance/probe-budget.js';
import {type SharedRetryBudget} from '../balance/shared-retry-budget.js';
import {type ServiceBreaker} from '../balance/service-breaker.js';
import {getFailureDomain} from '../fleet/get-failure-domain.js';
import {type Target} from '../fleet/target.js';
import {type CrashDetector} from './crash-detector.js';
import {describeUnavailableTargets} from './describe-unavailable-targets.js';
import {type ForwardExchange} from './forward-exchange.js';
import {type Refusal} from './refusal.js';
import {retrySpreads} from './retry-spreads.js';
import {type SendProgress} from './send-progress.js';
import {silentConnectionReason} from './silent-connection-reason.js';
import {type UnavailableTarget} from './unavailable-target.js';
import {type StopAdmission} from './stop-admission.js';
import {type StreamAdmission} from './stream-admission.js';
import {type TargetTracker} from './target-tracker.js';

/** The attempt in flight, and why the request should be moved. */
type SilentAttempt = {readonly target: Target; readonly reason: string};

type PickerOptions = {
	readonly tracker: TargetTracker;
	/** Blocks requests that crash targets. */
	readonly crashes: CrashDetector;
	readonly inFlightCounts: InFlightCounts;
	/** Blocks groups and services that have stopped. */
	readonly serviceBreaker: ServiceBreaker;
	/** Limits retries. */
	readonly retryBudget: SharedRetryBudget;
	/** Limits requests sent as probes to targets that have refused some. */
	readonly probes: ProbeBudget;
	readonly admission: StreamAdmission;
	/** Says whether another attempt would end before this process stops. */
	readonly stops: StopAdmission;
	readonly availabilityZone: string;
	/** The present time, milliseconds. */
	readonly clock: () => number;
	/** A random number from 0 (included) to 1 (excluded). */
	readonly random: () => number;
};

/** Most attempts of one request, including those that reached no target; bounds the attempts when no target is reachable. */
const maximumAttempts = 6;
/** Requests beyond its slots that may be queued at a target, so that its engine can fill a free slot within a pass. */
const queueLength = 2;
/** A reserved attempt is used within this time or given up, milliseconds: its request is tried to be moved each 0.2 s as long as it is silent. */
const reservationMs = 500;
/** Most permits requested for one request: each takes a round trip to another entry. Targets found without permits are skipped by later requests. */
const maximumPermitRequests = 4;

/** Chooses the target that a request is sent to next, or returns why there is none. */
export class TargetPicker {
	/** Reservations that have not become attempts yet. */
	private readonly reservations = new Set<NonNullable<SendProgress['reservation']>>();

	constructor(private readonly options: PickerOptions) {}

	/** Chooses a target, and takes a permit if the target has a rate limit. */
	async pick(exchange: ForwardExchange, progress: SendProgress): Promise<Target | Refusal> {
		const {tracker, serviceBreaker, clock} = this.options;
		const {reservation} = progress;
		this.release(progress);
		if (reservation?.state === 'used') {
			return reservation.target;
		}

		this.noteUnavailable(exchange, clock());
		for (let requests = 0; requests < maximumPermitRequests; requests++) {
			const target = this.choose(exchange, progress, true);
			if ('detail' in target || await tracker.permits.take(target)) {
				return target;
			}

			exchange.noteDecision(`no permit for ${target.id}, limited to ${tracker.limits.get(target.id)} requests per second`);
			serviceBreaker.allowNextProbe(getFailureDomain(target), clock());
		}

		return this.choose(exchange, progress, false);
	}

	/**
	 * Reserves the next attempt of a request that is in flight: a target, a retry of the budget, and a permit if that target has a rate
	 * limit. The attempt in flight must then be ended at once.
	 *
	 * @returns undefined when it is reserved; otherwise why it is not possible now
	 */
	reserve(exchange: ForwardExchange, progress: SendProgress, {target: current, reason}: SilentAttempt): string | undefined {
		if (progress.reservation && !this.mayUse(progress.reservation, exchange)) {
			this.release(progress);
		}

		if (!progress.reservation) {
			const attempt = {
				...progress, sent: progress.sent + 1, excluded: new Set([...progress.excluded, current.id]), hasLostConnection: reason === silentConnectionReason, reason,
			};
			const obstacle = this.findObstacle(exchange, attempt);
			const target = obstacle ?? this.choose(exchange, attempt, true);
			// A charge stays with the request, so that a later call makes no second one.
			progress.isRetryCharged = attempt.isRetryCharged;
			if (typeof target === 'string' || 'detail' in target) {
				return typeof target === 'string' ? target : target.detail;
			}

			this.addReservation(progress, target);
		}

		const {reservation} = progress;
		if (reservation?.state === 'pending') {
			return `no permit for ${reservation.target.id} has been granted yet`;
		}

		reservation!.state = 'used';
		progress.hasMoved = true;
		return undefined;
	}

	/** Gives up a reservation that has not become an attempt. */
	release(progress: SendProgress): void {
		if (progress.reservation) {
			this.reservations.delete(progress.reservation);
			progress.reservation = undefined;
		}
	}

	private mayUse({target, expiresAt}: NonNullable<SendProgress['reservation']>, {service}: ForwardExchange): boolean {
		const {tracker, clock} = this.options;
		const now = clock();
		return now < expiresAt && tracker.isServing(target, service, now);
	}

	private addReservation(progress: SendProgress, target: Target): void {
		const {limits, permits} = this.options.tracker;
		const reservation: SendProgress['reservation'] = {
			target, state: limits.get(target.id) === undefined ? 'granted' : 'pending', expiresAt: this.options.clock() + reservationMs,
		};
		progress.reservation = reservation;
		this.reservations.add(reservation);
		if (reservation.state === 'pending') {
			void permits.take(target).then(isGranted => {
				reservation.state = 'granted';
				if (!isGranted && progress.reservation === reservation) {
					this.release(progress);
				}
			});
		}
	}

	/* Returns why no further attempt is possible, without taking anything from the budget of retries or of probes. */
	private findObstacle(exchange: ForwardExchange, {attempts, sent, misdirected, excluded, isRetryCharged}: SendProgress): string | undefined {
		const {tracker, retryBudget, stops, clock} = this.options;
		const {route, service} = exchange;
		if (attempts >= maximumAttempts || sent - misdirected >= route!.maximumAttempts) {
			return 'all its attempts are used';
		}

		if (tracker.listAvailable(service, clock()).every(({id}) => excluded.has(id))) {
			return 'no other target takes requests';
		}

		if (!stops.hasTimeToMove(exchange, clock())) {
			return 'this process stops too soon for another attempt';
		}

		return isRetryCharged || retryBudget.mayRetry(service, clock()) ? undefined : 'the budget of repeats is spent';
	}

	private countInFlight(target: string, now: number): number {
		const reserved = [...this.reservations].filter(reservation => reservation.target.id === target && now < reservation.expiresAt).length;
		return this.options.inFlightCounts.count(target, now) + reserved;
	}

	/* @param mayAsk - whether rate-limited targets, which need a permit first, are candidates */
	private choose(exchange: ForwardExchange, progress: SendProgress, mayAsk: boolean): Target | Refusal {
		const {tracker, probes, availabilityZone, clock, random} = this.options;
		const {health, refusals} = tracker;
		const now = clock();
		if (progress.attempts >= maximumAttempts || progress.sent - progress.misdirected >= exchange.route!.maximumAttempts) {
			return {spread: retrySpreads.overload, detail: progress.reason};
		}

		const crashRefusal = this.options.crashes.refuse(exchange, now);
		if (crashRefusal) {
			return crashRefusal;
		}

		const refusal = this.refuseIfUnavailable(exchange, now);
		if (refusal) {
			return refusal;
		}

		const running = this.listRunning(exchange.service, now);
		if (!running) {
			return {spread: retrySpreads.outage, detail: `${progress.reason}; the service's group is down`};
		}

		const {targets, refusal: noRoom} = progress.delivery.hasBegun
			? {targets: running, refusal: undefined}
			: this.options.admission.findTargetsWithRoom(running, exchange.route!, exchange.deadline - now, now);
		if (noRoom !== undefined) {
			return {spread: retrySpreads.overload, detail: noRoom};
		}

		const candidates = mayAsk ? targets : targets.filter(({id}) => tracker.limits.get(id) === undefined);
		const unavailable = mayAsk ? [] : tracker.listUnavailable(exchange.service, now);
		if (candidates.length === 0 && unavailable.length > 0) {
			return this.refuseUnavailable(unavailable);
		}

		if (progress.sent > 0 && !progress.isRetryCharged && !this.options.retryBudget.takeRetry(exchange.service, now)) {
			return {spread: retrySpreads.overload, detail: `${progress.reason}; the budget of repeats is spent`};
		}

		progress.isRetryCharged = progress.sent > 0;
		const choice = chooseReplica({
			targets: candidates,
			excluded: progress.excluded,
			availabilityZone,
			countInFlight: target => this.countInFlight(target, now),
			getBreakerState: target => tracker.getBreakerState(target, now),
			getServedAt: target => refusals.getServedAt(target),
			getFailureRate: target => health.getFailureRate(target, now),
			getLatencyMs: target => exchange.route!.kind === 'stream' ? 0 : health.getLatencyMs(target, now),
			// A stream that has begun takes precedence over new requests.
			queueLength: progress.delivery.hasBegun ? Number.POSITIVE_INFINITY : queueLength,
			isRetry: progress.sent > 0 && !progress.hasLostConnection,
			mayProbe: () => progress.sent === 0 && probes.takeProbe(exchange.service),
			random,
		});
		switch (choice.kind) {
			case 'chosen': {
				this.options.crashes.beginTrial(exchange, now);
				return choice.target;
			}

			case 'full': {
				return {spread: retrySpreads.overload, detail: 'every target is full'};
			}

			default: {
				return {spread: retrySpreads.outage, detail: progress.reason};
			}
		}
	}

	private noteUnavailable(exchange: ForwardExchange, now: number): void {
		const unavailable = this.options.tracker.listUnavailable(exchange.service, now);
		if (unavailable.length > 0) {
			exchange.noteDecision(`left out ${describeUnavailableTargets(unavailable)}`);
		}
	}

	/* Returns a refusal when all targets are unavailable. */
	private refuseIfUnavailable(exchange: ForwardExchange, now: number): Refusal | undefined {
		const {tracker} = this.options;
		const unavailable = tracker.listUnavailable(exchange.service, now);
		if (unavailable.length === 0) {
			return undefined;
		}

		return unavailable.length < tracker.directory.list(exchange.service).length ? undefined : this.refuseUnavailable(unavailable);
	}

	private refuseUnavailable(unavailable: readonly UnavailableTarget[]): Refusal {
		const unavailableMs = Math.min(...unavailable.map(({waitMs}) => waitMs));
		return {spread: 1, unavailableMs, detail: `targets ask for rest or take no more for now, for ${Math.round(unavailableMs)} ms more at least`};
	}

	/*
	 * Lists the targets whose groups are running, as far as is known. While one of several groups has stopped, the others
	 * take its share; when all have, single requests probe whether they run again. Undefined when no request may be sent.
	 */
	private listRunning(service: string, now: number): readonly Target[] | undefined {
		const {tracker, serviceBreaker} = this.options;
		const registered = tracker.listAvailable(service, now);
		const failureDomains = [...new Set(registered.map(target => getFailureDomain(target)))];
		const running = failureDomains.filter(failureDomain => !serviceBreaker.isAvoided(failureDomain, now));
		if (failureDomains.length > 1 && running.length > 0) {
			return registered.filter(target => running.includes(getFailureDomain(target)));
		}

		const probed = failureDomains.length === 0 ? service : failureDomains.find(failureDomain => serviceBreaker.admit(failureDomain, now));
		return probed === undefined ? undefined : registered.filter(target => failureDomains.length < 2 || getFailureDomain(target) === probed);
	}
}
