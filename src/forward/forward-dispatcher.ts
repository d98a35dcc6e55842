import {ok, type Result} from 'neverthrow';
import {chooseReplica} from '../balance/choose-replica.js';
import {type LoadBoard} from '../balance/load-board.js';
import {type ProbeBudget} from '../balance/probe-budget.js';
import {type RepeatBudget} from '../balance/repeat-budget.js';
import {type ServiceGate} from '../balance/service-gate.js';
import {getUnit} from '../fleet/get-unit.js';
import {type Target} from '../fleet/target.js';
import {type Problem} from '../requests/problem.js';
import {type Answer} from './answer.js';
import {chooseReturnTime} from './choose-return-time.js';
import {concludeRequest} from './conclude-request.js';
import {type CrashWatch} from './crash-watch.js';
import {describeShutTargets} from './describe-shut-targets.js';
import {type ForwardExchange} from './forward-exchange.js';
import {limitSend} from './limit-send.js';
import {pickService} from './pick-service.js';
import {relayHeldAnswer} from './relay-held-answer.js';
import {ReturnSchedule} from './return-schedule.js';
import {type SendOutcome} from './send-outcome.js';
import {type SendProgress} from './send-progress.js';
import {type StallWatch} from './stall-watch.js';
import {type StreamAdmission} from './stream-admission.js';
import {StreamDelivery} from './stream-delivery.js';
import {type TargetBook} from './target-book.js';
import {type TargetTransport} from './target-transport.js';

type DispatcherOptions = {
	/** The way to a target. */
	readonly send: TargetTransport['send'];
	readonly book: TargetBook;
	readonly crashes: CrashWatch;
	readonly board: LoadBoard;
	readonly gate: ServiceGate;
	readonly budget: RepeatBudget;
	readonly probes: ProbeBudget;
	readonly stalls: StallWatch;
	readonly admission: StreamAdmission;
	readonly availabilityZone: string;
	readonly clock: () => number;
	readonly random: () => number;
	/** Entries that are registered. */
	readonly countRegistered: () => number;
	readonly onSend: (service: string, isRepeat: boolean) => void;
};

/** Why no further target is asked; `spread` is how far the callers' return is spread, 0 to 1. */
type Refusal = {
	readonly detail: string;
	readonly spread: number;
	/** Where no target may be sent anything, how long until the first may be, milliseconds. */
	readonly shutMs?: number;
};

/** Tries of one request, those that reached no target included: a bound for when none can be reached. */
const maximumTries = 6;
/** Requests beyond its slots that may wait at a target: an engine fills a free slot from them within a pass. */
const queueLength = 2;
/** Callers that met full targets come back within the last part of the time that they wait, this share of it. */
const overloadSpread = 0.6;
/** Those that met an outage come back as late as they would; a little apart. */
const outageSpread = 0.1;
/** Permits that one request asks for at most: each takes a way to another entry and back, and the next request does not ask there again. */
const mostQuestions = 4;
/** First status of the failures that another target may not give. */
const serverError = 500;

/** Sends each request to a target with room, and elsewhere when that is safe and within the budget. */
export class ForwardDispatcher {
	private readonly returns = new ReturnSchedule();

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
			isPaid: false,
			reason: 'no target is registered, or all leave',
			failure: undefined,
			isExpired: false,
			inFlight: 0,
		};
		for (;;) {
			const target = await this.pickTarget(exchange, progress);
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

	/* Chooses a target, and takes a permit where it names a limit. */
	private async pickTarget(exchange: ForwardExchange, progress: SendProgress): Promise<Target | Refusal> {
		const {book, gate, clock} = this.options;
		for (let questions = 0; questions < mostQuestions; questions++) {
			const target = this.choose(exchange, progress);
			if ('detail' in target || await book.permits.take(target)) {
				return target;
			}

			exchange.note(`no permit for ${target.id}, which takes ${book.limits.get(target.id)} a second`);
			gate.excuse(getUnit(target), clock());
		}

		return {spread: overloadSpread, detail: 'targets take so many requests a second only'};
	}

	private choose(exchange: ForwardExchange, progress: SendProgress): Target | Refusal {
		const {board, book, probes, availabilityZone, clock, random} = this.options;
		const {health, refusals} = book;
		const now = clock();
		if (progress.tries >= maximumTries || progress.sent - progress.misdirected >= exchange.route!.maximumAttempts) {
			return {spread: overloadSpread, detail: progress.reason};
		}

		const blockMs = this.options.crashes.getBlockMs(exchange, now);
		if (blockMs > 0) {
			return {spread: 0, shutMs: blockMs, detail: `targets crashed as they ran this request, which is refused for ${Math.round(blockMs)} ms more`};
		}

		const shut = this.findShut(exchange, now);
		if (shut) {
			return shut;
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

		if (progress.sent > 0 && !progress.isPaid && !this.options.budget.spend(exchange.service, now)) {
			return {spread: overloadSpread, detail: `${progress.reason}; the budget of repeats is spent`};
		}

		progress.isPaid = progress.sent > 0;

		const choice = chooseReplica({
			targets,
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
				return {spread: overloadSpread, detail: 'every target is full'};
			}

			default: {
				return {spread: outageSpread, detail: progress.reason};
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
		if (shut.length < book.directory.list(exchange.service).length) {
			return undefined;
		}

		const shutMs = Math.min(...shut.map(({waitMs}) => waitMs));
		return {spread: 1, shutMs, detail: `every target asks for rest or takes no more for now, for ${Math.round(shutMs)} ms more at least`};
	}

	/*
	 * Targets whose groups run, as far as is known. While one of several groups has stopped, its share goes to the others;
	 * if all have, a request now and then sees whether they run again. Undefined when none may be sent now.
	 */
	private listRunning(service: string, now: number): readonly Target[] | undefined {
		const {book, gate} = this.options;
		const registered = book.listOpen(service, now);
		const units = [...new Set(registered.map(target => getUnit(target)))];
		const running = units.filter(unit => !gate.isAvoided(unit, now));
		if (units.length > 1 && running.length > 0) {
			return registered.filter(target => running.includes(getUnit(target)));
		}

		const probed = units.length === 0 ? service : units.find(unit => gate.admit(unit, now));
		return probed === undefined ? undefined : registered.filter(target => units.length < 2 || getUnit(target) === probed);
	}

	private async sendTo(target: Target, exchange: ForwardExchange, progress: SendProgress): Promise<SendOutcome> {
		const {board, book, clock, send, stalls, onSend} = this.options;
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
		book.noteSend(target.id, now);
		progress.isPaid = false;
		onSend(exchange.service, progress.sent > 0);
		progress.tries++;
		try {
			return await limitSend({
				exchange,
				target,
				progress,
				stalls,
				clock,
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
				this.options.book.health.note(target.id, false, now);
				this.options.crashes.noteAnswered(exchange);
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
				this.options.crashes.noteLost(exchange, target, outcome.isCut ?? false);
				if (!isOver) {
					this.options.book.health.note(target.id, true, now);
				}

				const mayRepeat = exchange.isRepeatable && !isOver;
				return mayRepeat ? undefined : this.conclude(exchange, progress, {spread: overloadSpread, detail: outcome.reason});
			}
		}
	}

	private judgeAnswer(answer: Answer, target: Target, exchange: ForwardExchange, progress: SendProgress): Result<void, Problem> | undefined {
		const now = this.options.clock();
		const hasFailed = answer.status >= serverError;
		this.options.book.health.note(target.id, hasFailed, now);
		this.options.crashes.noteAnswered(exchange);
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

		this.options.book.health.noteLatency(target.id, now - exchange.arrivedAt, now);
		relayHeldAnswer(answer, exchange);
		return ok();
	}

	/* A refusal also says something of the target. */
	private noteCause({cause, wasSent}: Extract<SendOutcome, {kind: 'not-run'}>, target: Target, isOver: boolean, now: number): void {
		const {gate, book: {directory, health}} = this.options;
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

	private conclude(exchange: ForwardExchange, progress: SendProgress, {detail, spread, shutMs}: Refusal): Result<void, Problem> {
		const {clock, random} = this.options;
		const leftMs = exchange.deadline - clock();
		const placeMs = shutMs === undefined ? undefined : this.bookPlace(exchange.service, leftMs, shutMs);
		return concludeRequest(exchange, progress, detail, placeMs ?? chooseReturnTime(leftMs, spread * random(), shutMs ?? 0));
	}

	/* Where all targets of a service name limits, callers come back at the pace at which this entry's part of the places comes. */
	private bookPlace(service: string, leftMs: number, shutMs: number): number | undefined {
		const {book, clock, countRegistered} = this.options;
		const perSecond = book.getPlacesPerSecond(service) / Math.max(1, countRegistered());
		const latestMs = chooseReturnTime(leftMs, 0, 0);
		return this.returns.book(service, {earliestMs: shutMs, latestMs, intervalMs: 1000 / perSecond}, clock());
	}
}
