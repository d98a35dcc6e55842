import {chooseReplica} from '../balance/choose-replica.js';
import {type InFlightCounts} from '../balance/in-flight-counts.js';
import {type ProbeBudget} from '../balance/probe-budget.js';
import {type SharedRetryBudget} from '../balance/shared-retry-budget.js';
import {type ServiceBreaker} from '../balance/service-breaker.js';
import {getFailureDomain} from '../fleet/get-failure-domain.js';
import {type Target} from '../fleet/target.js';
import {type CrashWatch} from './crash-watch.js';
import {describeShutTargets} from './describe-shut-targets.js';
import {type ForwardExchange} from './forward-exchange.js';
import {type Refusal} from './refusal.js';
import {returnSpreads} from './return-spreads.js';
import {type SendProgress} from './send-progress.js';
import {type ShutTarget} from './shut-target.js';
import {type StreamAdmission} from './stream-admission.js';
import {type TargetBook} from './target-book.js';

type PickerOptions = {
	readonly book: TargetBook;
	readonly crashes: CrashWatch;
	readonly board: InFlightCounts;
	readonly gate: ServiceBreaker;
	readonly budget: SharedRetryBudget;
	readonly probes: ProbeBudget;
	readonly admission: StreamAdmission;
	readonly availabilityZone: string;
	readonly clock: () => number;
	readonly random: () => number;
};

/** Tries of one request, those that reached no target included: a bound for when none can be reached. */
const maximumTries = 6;
/** Requests beyond its slots that may wait at a target: an engine fills a free slot from them within a pass. */
const queueLength = 2;
/** Permits that one request asks for at most: each takes a way to another entry and back, and the next request does not ask there again. */
const mostQuestions = 4;

/** Finds the target that a request is sent to next, or why there is none. */
export class TargetPicker {
	constructor(private readonly options: PickerOptions) {}

	/** Chooses a target, and takes a permit where it names a limit. */
	async pick(exchange: ForwardExchange, progress: SendProgress): Promise<Target | Refusal> {
		const {book, gate, clock} = this.options;
		for (let questions = 0; questions < mostQuestions; questions++) {
			const target = this.choose(exchange, progress, true);
			if ('detail' in target || await book.permits.take(target)) {
				return target;
			}

			exchange.note(`no permit for ${target.id}, which takes ${book.limits.get(target.id)} a second`);
			gate.allowNextProbe(getFailureDomain(target), clock());
		}

		return this.choose(exchange, progress, false);
	}

	/* @param mayAsk - whether targets count for which a permit is to be taken first */
	private choose(exchange: ForwardExchange, progress: SendProgress, mayAsk: boolean): Target | Refusal {
		const {board, book, probes, availabilityZone, clock, random} = this.options;
		const {health, refusals} = book;
		const now = clock();
		if (progress.tries >= maximumTries || progress.sent - progress.misdirected >= exchange.route!.maximumAttempts) {
			return {spread: returnSpreads.overload, detail: progress.reason};
		}

		const blockMs = this.options.crashes.getBlockMs(exchange, now);
		if (blockMs > 0) {
			return {spread: 0, shutMs: blockMs, detail: `targets crashed as they ran this request (${exchange.fingerprint}), which is refused for ${Math.round(blockMs)} ms more`};
		}

		const shut = this.findShut(exchange, now);
		if (shut) {
			return shut;
		}

		const running = this.listRunning(exchange.service, now);
		if (!running) {
			return {spread: returnSpreads.outage, detail: `${progress.reason}; the service's group is down`};
		}

		const {targets, refusal} = progress.delivery.hasBegun
			? {targets: running, refusal: undefined}
			: this.options.admission.findRoom(running, exchange.route!, exchange.deadline - now, now);
		if (refusal !== undefined) {
			return {spread: returnSpreads.overload, detail: refusal};
		}

		const candidates = mayAsk ? targets : targets.filter(({id}) => book.limits.get(id) === undefined);
		const left = mayAsk ? [] : book.listShut(exchange.service, now);
		if (candidates.length === 0 && left.length > 0) {
			return this.refuseShut(left);
		}

		if (progress.sent > 0 && !progress.isPaid && !this.options.budget.takeRetry(exchange.service, now)) {
			return {spread: returnSpreads.overload, detail: `${progress.reason}; the budget of repeats is spent`};
		}

		progress.isPaid = progress.sent > 0;
		const choice = chooseReplica({
			targets: candidates,
			excluded: progress.excluded,
			availabilityZone,
			countInFlight: target => board.count(target, now),
			getBreakerState: target => book.getStanding(target, now),
			getServedAt: target => refusals.getServedAt(target),
			getFailureRate: target => health.getFailureRate(target, now),
			getLatencyMs: target => exchange.route!.kind === 'stream' ? 0 : health.getLatencyMs(target, now),
			// What the caller has half of goes before what it has nothing of.
			queueLength: progress.delivery.hasBegun ? Number.POSITIVE_INFINITY : queueLength,
			isRetry: progress.sent > 0,
			mayProbe: () => progress.sent === 0 && probes.takeProbe(exchange.service),
			random,
		});
		switch (choice.kind) {
			case 'chosen': {
				return choice.target;
			}

			case 'full': {
				return {spread: returnSpreads.overload, detail: 'every target is full'};
			}

			default: {
				return {spread: returnSpreads.outage, detail: progress.reason};
			}
		}
	}

	/* Leaves out who rests, or has had what it takes, and says so; a refusal when that is everybody. */
	private findShut(exchange: ForwardExchange, now: number): Refusal | undefined {
		const {book} = this.options;
		const shut = book.listShut(exchange.service, now);
		if (shut.length === 0) {
			return undefined;
		}

		exchange.note(`left out ${describeShutTargets(shut)}`);
		return shut.length < book.directory.list(exchange.service).length ? undefined : this.refuseShut(shut);
	}

	private refuseShut(shut: readonly ShutTarget[]): Refusal {
		const shutMs = Math.min(...shut.map(({waitMs}) => waitMs));
		return {spread: 1, shutMs, detail: `targets ask for rest or take no more for now, for ${Math.round(shutMs)} ms more at least`};
	}

	/*
	 * Targets whose groups run, as far as is known. While one of several groups has stopped, its share goes to the others;
	 * if all have, a request now and then sees whether they run again. Undefined when none may be sent now.
	 */
	private listRunning(service: string, now: number): readonly Target[] | undefined {
		const {book, gate} = this.options;
		const registered = book.listOpen(service, now);
		const units = [...new Set(registered.map(target => getFailureDomain(target)))];
		const running = units.filter(unit => !gate.isAvoided(unit, now));
		if (units.length > 1 && running.length > 0) {
			return registered.filter(target => running.includes(getFailureDomain(target)));
		}

		const probed = units.length === 0 ? service : units.find(unit => gate.admit(unit, now));
		return probed === undefined ? undefined : registered.filter(target => units.length < 2 || getFailureDomain(target) === probed);
	}
}
