import {chooseReplica} from '../balance/choose-replica.js';
import {type LoadBoard} from '../balance/load-board.js';
import {type ProbeBudget} from '../balance/probe-budget.js';
import {type RepeatBudget} from '../balance/repeat-budget.js';
import {type ServiceGate} from '../balance/service-gate.js';
import {getUnit} from '../fleet/get-unit.js';
import {type Target} from '../fleet/target.js';
import {type CrashDetector} from './crash-detector.js';
import {describeUnavailableTargets} from './describe-unavailable-targets.js';
import {type ForwardExchange} from './forward-exchange.js';
import {type Refusal} from './refusal.js';
import {retrySpreads} from './retry-spreads.js';
import {type SendProgress} from './send-progress.js';
import {type UnavailableTarget} from './unavailable-target.js';
import {type StreamAdmission} from './stream-admission.js';
import {type TargetTracker} from './target-tracker.js';

type PickerOptions = {
	readonly tracker: TargetTracker;
	readonly crashes: CrashDetector;
	readonly board: LoadBoard;
	readonly gate: ServiceGate;
	readonly budget: RepeatBudget;
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
		const {tracker: book, gate, clock} = this.options;
		for (let questions = 0; questions < mostQuestions; questions++) {
			const target = this.choose(exchange, progress, true);
			if ('detail' in target || await book.permits.take(target)) {
				return target;
			}

			exchange.noteDecision(`no permit for ${target.id}, which takes ${book.limits.get(target.id)} a second`);
			gate.excuse(getUnit(target), clock());
		}

		return this.choose(exchange, progress, false);
	}

	/* @param mayAsk - whether targets count for which a permit is to be taken first */
	private choose(exchange: ForwardExchange, progress: SendProgress, mayAsk: boolean): Target | Refusal {
		const {board, tracker: book, probes, availabilityZone, clock, random} = this.options;
		const {health, refusals} = book;
		const now = clock();
		if (progress.attempts >= maximumTries || progress.sent - progress.misdirected >= exchange.route!.maximumAttempts) {
			return {spread: retrySpreads.overload, detail: progress.reason};
		}

		const blockMs = this.options.crashes.getBlockMs(exchange, now);
		if (blockMs > 0) {
			return {spread: 0, unavailableMs: blockMs, detail: `targets crashed as they ran this request (${exchange.fingerprint}), which is refused for ${Math.round(blockMs)} ms more`};
		}

		const shut = this.findShut(exchange, now);
		if (shut) {
			return shut;
		}

		const running = this.listRunning(exchange.service, now);
		if (!running) {
			return {spread: retrySpreads.outage, detail: `${progress.reason}; the service's group is down`};
		}

		const {targets, refusal} = progress.delivery.hasBegun
			? {targets: running, refusal: undefined}
			: this.options.admission.findTargetsWithRoom(running, exchange.route!, exchange.deadline - now, now);
		if (refusal !== undefined) {
			return {spread: retrySpreads.overload, detail: refusal};
		}

		const candidates = mayAsk ? targets : targets.filter(({id}) => book.limits.get(id) === undefined);
		const left = mayAsk ? [] : book.listUnavailable(exchange.service, now);
		if (candidates.length === 0 && left.length > 0) {
			return this.refuseShut(left);
		}

		if (progress.sent > 0 && !progress.isRetryCharged && !this.options.budget.spend(exchange.service, now)) {
			return {spread: retrySpreads.overload, detail: `${progress.reason}; the budget of repeats is spent`};
		}

		progress.isRetryCharged = progress.sent > 0;
		const choice = chooseReplica({
			targets: candidates,
			excluded: progress.excluded,
			availabilityZone,
			count: target => board.count(target, now),
			getStanding: target => book.getStanding(target, now),
			getServedAt: target => refusals.getServedAt(target),
			getFailureRate: target => health.getFailureRate(target, now),
			getLatency: target => exchange.route!.kind === 'stream' ? 0 : health.getLatency(target, now),
			// What the caller has half of goes before what it has nothing of.
			queueLength: progress.delivery.hasBegun ? Number.POSITIVE_INFINITY : queueLength,
			isRepeat: progress.sent > 0,
			mayProbe: () => progress.sent === 0 && probes.spend(exchange.service),
			random,
		});
		switch (choice.kind) {
			case 'chosen': {
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

	/* Leaves out who rests, or has had what it takes, and says so; a refusal when that is everybody. */
	private findShut(exchange: ForwardExchange, now: number): Refusal | undefined {
		const {tracker: book} = this.options;
		const shut = book.listUnavailable(exchange.service, now);
		if (shut.length === 0) {
			return undefined;
		}

		exchange.noteDecision(`left out ${describeUnavailableTargets(shut)}`);
		return shut.length < book.directory.list(exchange.service).length ? undefined : this.refuseShut(shut);
	}

	private refuseShut(shut: readonly UnavailableTarget[]): Refusal {
		const shutMs = Math.min(...shut.map(({waitMs}) => waitMs));
		return {spread: 1, unavailableMs: shutMs, detail: `targets ask for rest or take no more for now, for ${Math.round(shutMs)} ms more at least`};
	}

	/*
	 * Targets whose groups run, as far as is known. While one of several groups has stopped, its share goes to the others;
	 * if all have, a request now and then sees whether they run again. Undefined when none may be sent now.
	 */
	private listRunning(service: string, now: number): readonly Target[] | undefined {
		const {tracker: book, gate} = this.options;
		const registered = book.listAvailable(service, now);
		const units = [...new Set(registered.map(target => getUnit(target)))];
		const running = units.filter(unit => !gate.isAvoided(unit, now));
		if (units.length > 1 && running.length > 0) {
			return registered.filter(target => running.includes(getUnit(target)));
		}

		const probed = units.length === 0 ? service : units.find(unit => gate.admit(unit, now));
		return probed === undefined ? undefined : registered.filter(target => units.length < 2 || getUnit(target) === probed);
	}
}
