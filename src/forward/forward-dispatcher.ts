import {ok, type Result} from 'neverthrow';
import {chooseReplica} from '../balance/choose-replica.js';
import {type LoadBoard} from '../balance/load-board.js';
import {type ProbeBudget} from '../balance/probe-budget.js';
import {type RepeatBudget} from '../balance/repeat-budget.js';
import {type ServiceGate} from '../balance/service-gate.js';
import {type TargetHealth} from '../balance/target-health.js';
import {type TargetLimits} from '../balance/target-limits.js';
import {type TargetRefusals} from '../balance/target-refusals.js';
import {type TargetRests} from '../balance/target-rests.js';
import {type TargetStanding} from '../balance/target-standing.js';
import {getUnit} from '../fleet/get-unit.js';
import {type TargetDirectory} from '../fleet/target-directory.js';
import {type Target} from '../fleet/target.js';
import {type Problem} from '../requests/problem.js';
import {type Answer} from './answer.js';
import {chooseReturnTime} from './choose-return-time.js';
import {concludeRequest} from './conclude-request.js';
import {describeRests} from './describe-rests.js';
import {type ForwardExchange} from './forward-exchange.js';
import {limitSend} from './limit-send.js';
import {pickService} from './pick-service.js';
import {relayHeldAnswer} from './relay-held-answer.js';
import {type SendOutcome} from './send-outcome.js';
import {type SendProgress} from './send-progress.js';
import {type StallWatch} from './stall-watch.js';
import {type StreamAdmission} from './stream-admission.js';
import {StreamDelivery} from './stream-delivery.js';
import {type TargetTransport} from './target-transport.js';

type DispatcherOptions = {
	/** The way to a target. */
	readonly send: TargetTransport['send'];
	readonly directory: TargetDirectory;
	/** Targets of a service that may be sent something now: those in the directory that do not rest. */
	readonly listOpen: (service: string, now: number) => readonly Target[];
	readonly getStanding: (target: string, now: number) => TargetStanding;
	readonly board: LoadBoard;
	readonly gate: ServiceGate;
	readonly health: TargetHealth;
	readonly refusals: TargetRefusals;
	readonly rests: TargetRests;
	readonly limits: TargetLimits;
	readonly budget: RepeatBudget;
	readonly probes: ProbeBudget;
	readonly stalls: StallWatch;
	readonly admission: StreamAdmission;
	readonly availabilityZone: string;
	readonly clock: () => number;
	readonly random: () => number;
	readonly onSend: (service: string, isRepeat: boolean) => void;
};

/** Why no further target is asked; `spread` is how far the callers' return is spread, 0 to 1. */
type Refusal = {
	readonly detail: string;
	readonly spread: number;
	/** Where all targets rest, how long until the first takes requests again, milliseconds. */
	readonly restMs?: number;
};

/** Tries of one request, those that reached no target included: a bound for when none can be reached. */
const maximumTries = 6;
/** Requests beyond its slots that may wait at a target: an engine fills a free slot from them within a pass. */
const queueLength = 2;
/** Callers that met full targets come back within the last part of the time that they wait, this share of it. */
const overloadSpread = 0.6;
/** Those that met an outage come back as late as they would; a little apart. */
const outageSpread = 0.1;
/** First status of the failures that another target may not give. */
const serverError = 500;

/** Sends each request to a target with room, and elsewhere when that is safe and within the budget. */
export class ForwardDispatcher {
	constructor(private readonly options: DispatcherOptions) {}

	/** Serves a request up to the end of its answer, or gives the problem that its caller is told. */
	async run(exchange: ForwardExchange): Promise<Result<void, Problem>> {
		const route = exchange.route!;
		exchange.service = pickService(route, this.options.random);
		this.options.budget.earn(exchange.service, this.options.clock());
		this.options.probes.earn(exchange.service, route.maximumAttempts > 1);
		const progress: SendProgress = {
			delivery: new StreamDelivery(exchange),
			excluded: new Set(),
			sent: 0,
			misdirected: 0,
			tries: 0,
			isUnrun: true,
			reason: 'no target is registered, or all leave',
			failure: undefined,
			isExpired: false,
			inFlight: 0,
		};
		for (;;) {
			const target = this.choose(exchange, progress);
			if ('detail' in target) {
				return this.conclude(exchange, progress, target);
			}

			const outcome = await this.sendTo(target, exchange, progress);
			const result = this.judge(outcome, target, exchange, progress);
			if (result) {
				return result;
			}
		}
	}

	private choose(exchange: ForwardExchange, progress: SendProgress): Target | Refusal {
		const {board, health, refusals, probes, getStanding, availabilityZone, clock, random} = this.options;
		const now = clock();
		if (progress.tries >= maximumTries || progress.sent - progress.misdirected >= exchange.route!.maximumAttempts) {
			return {spread: overloadSpread, detail: progress.reason};
		}

		const resting = this.findRest(exchange, now);
		if (resting) {
			return resting;
		}

		const running = this.listRunning(exchange.service, now);
		if (!running) {
			return {spread: outageSpread, detail: `${progress.reason}; the service's group is down`};
		}

		const {targets, refusal} = progress.delivery.hasBegun
			? {targets: running, refusal: undefined}
			: this.options.admission.findRoom(running, exchange.route!, exchange.deadline - now, now);
		if (refusal !== undefined) {
			return {spread: overloadSpread, detail: refusal};
		}

		if (progress.sent > 0 && !this.options.budget.spend(exchange.service, now)) {
			return {spread: overloadSpread, detail: `${progress.reason}; the budget of repeats is spent`};
		}

		const choice = chooseReplica({
			targets,
			excluded: progress.excluded,
			availabilityZone,
			count: target => board.count(target, now),
			getStanding: target => getStanding(target, now),
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
				return {spread: overloadSpread, detail: 'every target is full'};
			}

			default: {
				return {spread: outageSpread, detail: progress.reason};
			}
		}
	}

	/* Leaves out who rests, and says so; a refusal when that is everybody. */
	private findRest(exchange: ForwardExchange, now: number): Refusal | undefined {
		const {directory, rests} = this.options;
		const remaining = directory.list(exchange.service).map(({id}) => ({id, restMs: rests.getRemaining(id, now)}));
		const resting = remaining.filter(({restMs}) => restMs > 0);
		if (resting.length === 0) {
			return undefined;
		}

		exchange.note(`left out ${describeRests(resting)}`);
		if (resting.length < remaining.length) {
			return undefined;
		}

		const restMs = Math.min(...resting.map(rest => rest.restMs));
		return {spread: 1, restMs, detail: `every target asks for rest, for ${Math.round(restMs)} ms more at least`};
	}

	/*
	 * Targets whose groups run, as far as is known. While one of several groups has stopped, its share goes to the others;
	 * if all have, a request now and then sees whether they run again. Undefined when none may be sent now.
	 */
	private listRunning(service: string, now: number): readonly Target[] | undefined {
		const {listOpen, gate} = this.options;
		const registered = listOpen(service, now);
		const units = [...new Set(registered.map(target => getUnit(target)))];
		const running = units.filter(unit => !gate.isAvoided(unit, now));
		if (units.length > 1 && running.length > 0) {
			return registered.filter(target => running.includes(getUnit(target)));
		}

		const probed = units.length === 0 ? service : units.find(unit => gate.admit(unit, now));
		return probed === undefined ? undefined : registered.filter(target => units.length < 2 || getUnit(target) === probed);
	}

	private async sendTo(target: Target, exchange: ForwardExchange, progress: SendProgress): Promise<SendOutcome> {
		const {board, clock, rests, limits, send, stalls, onSend} = this.options;
		const now = clock();
		const remainingMs = exchange.deadline - now;
		if (exchange.departure.signal.aborted) {
			return {kind: 'not-run', reason: 'the caller left', wasSent: false};
		}

		if (remainingMs <= 0) {
			progress.isExpired = true;
			return {kind: 'not-run', reason: 'the deadline passed', wasSent: false};
		}

		progress.inFlight = board.count(target.id, now);
		board.begin(target.id, now);
		rests.noteSend(target.id, now);
		limits.noteSend(target.id);
		onSend(exchange.service, progress.sent > 0);
		progress.tries++;
		try {
			return await limitSend({
				exchange,
				target,
				progress,
				stalls,
				remainingMs,
				send: async (signal, onProgress) => send({
					exchange, target, delivery: progress.delivery, signal, onProgress,
				}),
			});
		} finally {
			board.end(target.id);
		}
	}

	/* Decides what the end of one send means; undefined to try another target. */
	private judge(outcome: SendOutcome, target: Target, exchange: ForwardExchange, progress: SendProgress): Result<void, Problem> | undefined {
		const now = this.options.clock();
		const isOver = exchange.departure.signal.aborted || progress.isExpired;
		switch (outcome.kind) {
			case 'streamed': {
				this.options.health.note(target.id, false, now);
				exchange.note(`streamed by ${target.id}`);
				return ok();
			}

			case 'answered': {
				progress.sent++;
				return this.judgeAnswer(outcome.answer, target, exchange, progress);
			}

			case 'not-run': {
				progress.sent += outcome.wasSent ? 1 : 0;
				progress.misdirected += outcome.cause === 'gone' ? 1 : 0;
				this.noteFailure(target, outcome.reason, progress, exchange);
				this.noteCause(outcome, target, isOver, now);
				return isOver ? this.conclude(exchange, progress, {spread: overloadSpread, detail: outcome.reason}) : undefined;
			}

			default: {
				progress.sent++;
				progress.isUnrun = false;
				this.noteFailure(target, outcome.reason, progress, exchange);
				if (!isOver) {
					this.options.health.note(target.id, true, now);
				}

				const mayRepeat = exchange.isRepeatable && !isOver;
				return mayRepeat ? undefined : this.conclude(exchange, progress, {spread: overloadSpread, detail: outcome.reason});
			}
		}
	}

	private judgeAnswer(answer: Answer, target: Target, exchange: ForwardExchange, progress: SendProgress): Result<void, Problem> | undefined {
		const now = this.options.clock();
		const hasFailed = answer.status >= serverError;
		this.options.health.note(target.id, hasFailed, now);
		exchange.note(`${answer.status} by ${target.id}`);
		if (progress.delivery.hasBegun) {
			progress.isUnrun = false;
			progress.excluded.add(target.id);
			progress.reason = `target answered ${answer.status} within a stream`;
			return undefined;
		}

		if (hasFailed && exchange.isRepeatable) {
			progress.isUnrun = false;
			progress.failure = answer;
			progress.excluded.add(target.id);
			return undefined;
		}

		this.options.health.noteLatency(target.id, now - exchange.arrivedAt, now);
		relayHeldAnswer(answer, exchange);
		return ok();
	}

	/* A refusal also says something of the target. */
	private noteCause({cause, wasSent}: Extract<SendOutcome, {kind: 'not-run'}>, target: Target, isOver: boolean, now: number): void {
		const {gate, directory, health} = this.options;
		if (cause === 'group-down') {
			gate.close(getUnit(target), now, `target ${target.id} refuses since its group has stopped`);
		} else if (cause === 'gone') {
			directory.drop(target);
			gate.excuse(getUnit(target), now);
		} else if (!wasSent && !isOver) {
			health.avoid(target.id, now);
		}
	}

	private noteFailure(target: Target, reason: string, progress: SendProgress, exchange: ForwardExchange): void {
		progress.reason = reason;
		progress.excluded.add(target.id);
		exchange.note(`${target.id} with ${progress.inFlight} in flight: ${reason}`);
	}

	private conclude(exchange: ForwardExchange, progress: SendProgress, {detail, spread, restMs}: Refusal): Result<void, Problem> {
		const {clock, random} = this.options;
		return concludeRequest(exchange, progress, detail, chooseReturnTime(exchange.deadline - clock(), spread * random(), restMs ?? 0));
	}
}
