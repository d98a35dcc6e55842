import {ok, type Result} from 'neverthrow';
import {getFailureDomain} from '../fleet/get-failure-domain.js';
import {type Target} from '../fleet/target.js';
import {type Problem} from '../requests/problem.js';
import {type Answer} from './answer.js';
import {chooseReturnTime} from './choose-return-time.js';
import {concludeRequest} from './conclude-request.js';
import {type ForwardExchange} from './forward-exchange.js';
import {limitSend} from './limit-send.js';
import {pickService} from './pick-service.js';
import {type Refusal} from './refusal.js';
import {relayHeldAnswer} from './relay-held-answer.js';
import {ReturnSchedule} from './return-schedule.js';
import {returnSpreads} from './return-spreads.js';
import {type SendOutcome} from './send-outcome.js';
import {type SendProgress} from './send-progress.js';
import {type StallWatch} from './stall-watch.js';
import {StreamDelivery} from './stream-delivery.js';
import {TargetPicker} from './target-picker.js';
import {type TargetTransport} from './target-transport.js';

type DispatcherOptions = ConstructorParameters<typeof TargetPicker>[0] & {
	/** The way to a target. */
	readonly send: TargetTransport['send'];
	readonly stalls: StallWatch;
	/** Entries that are registered. */
	readonly countRegistered: () => number;
	readonly onSend: (service: string, isRepeat: boolean) => void;
};

/** First status of the failures that another target may not give. */
const serverError = 500;

/** Sends each request to a target with room, and elsewhere when that is safe and within the budget. */
export class ForwardDispatcher {
	private readonly picker: TargetPicker;
	private readonly returns = new ReturnSchedule();

	constructor(private readonly options: DispatcherOptions) {
		this.picker = new TargetPicker(options);
	}

	/** Serves a request up to the end of its answer, or gives the problem that its caller is told. */
	async run(exchange: ForwardExchange): Promise<Result<void, Problem>> {
		const route = exchange.route!;
		exchange.service = pickService(route, this.options.random);
		this.options.budget.noteRequest(exchange.service, this.options.clock());
		this.options.probes.noteRequest(exchange.service, route.maximumAttempts > 1);
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
			const target = await this.picker.pick(exchange, progress);
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
		board.noteStart(target.id, now);
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
			board.noteEnd(target.id);
		}
	}

	/* Decides what the end of one send means; undefined to try another target. */
	private judge(outcome: SendOutcome, target: Target, exchange: ForwardExchange, progress: SendProgress): Result<void, Problem> | undefined {
		const now = this.options.clock();
		const isOver = exchange.departure.signal.aborted || progress.isExpired;
		switch (outcome.kind) {
			case 'streamed': {
				this.options.book.health.noteOutcome(target.id, false, now);
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
				return isOver ? this.conclude(exchange, progress, {spread: returnSpreads.overload, detail: outcome.reason}) : undefined;
			}

			default: {
				progress.sent++;
				progress.isUnrun = false;
				this.noteFailure(target, outcome.reason, progress, exchange);
				if (!isOver) {
					this.options.crashes.noteLost(exchange, target, outcome);
					this.options.book.health.noteOutcome(target.id, true, now);
				}

				const mayRepeat = exchange.isRepeatable && !isOver;
				return mayRepeat ? undefined : this.conclude(exchange, progress, {spread: returnSpreads.overload, detail: outcome.reason});
			}
		}
	}

	private judgeAnswer(answer: Answer, target: Target, exchange: ForwardExchange, progress: SendProgress): Result<void, Problem> | undefined {
		const now = this.options.clock();
		const hasFailed = answer.status >= serverError;
		this.options.book.health.noteOutcome(target.id, hasFailed, now);
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
			gate.noteDown(getFailureDomain(target), now, `target ${target.id} refuses since its group has stopped`);
		} else if (cause === 'gone') {
			directory.markGone(target);
			gate.allowNextProbe(getFailureDomain(target), now);
		} else if (!wasSent && !isOver) {
			health.noteUnreachable(target.id, now);
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
		const {book, clock, countRegistered, random} = this.options;
		const perSecond = book.getPlacesPerSecond(service) / Math.max(1, countRegistered());
		if (!Number.isFinite(perSecond)) {
			return undefined;
		}

		const latestMs = chooseReturnTime(leftMs, 0, 0);
		return this.returns.book(service, {earliestMs: shutMs, latestMs, intervalMs: 1000 / perSecond}, random(), clock());
	}
}
