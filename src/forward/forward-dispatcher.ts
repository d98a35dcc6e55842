import {err, ok, type Result} from 'neverthrow';
import {stopRetryAfterMs} from '../callers/stop-retry-after-ms.js';
import {getFailureDomain} from '../fleet/get-failure-domain.js';
import {type Target} from '../fleet/target.js';
import {Problem} from '../requests/problem.js';
import {type Answer} from './answer.js';
import {chooseRetryDelay} from './choose-retry-delay.js';
import {concludeRequest} from './conclude-request.js';
import {type ForwardExchange} from './forward-exchange.js';
import {sendWithTimeouts} from './send-with-timeouts.js';
import {pickService} from './pick-service.js';
import {type Refusal} from './refusal.js';
import {relayBufferedAnswer} from './relay-buffered-answer.js';
import {RetrySchedule} from './retry-schedule.js';
import {retrySpreads} from './retry-spreads.js';
import {type SendOutcome} from './send-outcome.js';
import {type SendProgress} from './send-progress.js';
import {silentConnectionReason} from './silent-connection-reason.js';
import {type StallDetector} from './stall-detector.js';
import {type StopAdmission} from './stop-admission.js';
import {stopDetail} from './stop-detail.js';
import {StreamDelivery} from './stream-delivery.js';
import {TargetPicker} from './target-picker.js';
import {type TargetTransport} from './target-transport.js';

type DispatcherOptions = ConstructorParameters<typeof TargetPicker>[0] & {
	/** Sends a request to one target. */
	readonly send: TargetTransport['send'];
	readonly stalls: StallDetector;
	readonly stops: StopAdmission;
	/** Returns the number of entries registered in the store. */
	readonly countRegistered: () => number;
	/** Called for each attempt. */
	readonly onSend: (service: string, isRetry: boolean) => void;
	readonly log: (message: string) => void;
};

/** Lowest status of an answer that is no success. */
const minimumClientError = 400;
/** Lowest status that is retried at another target. */
const minimumServerError = 500;

const stopRefusal: Refusal = {detail: stopDetail, spread: 0, retryAfterMs: stopRetryAfterMs};

/** Sends each request to a target with capacity, and retries at others where that is safe and within the retry budget. */
export class ForwardDispatcher {
	private readonly picker: TargetPicker;
	private readonly retries = new RetrySchedule();

	constructor(private readonly options: DispatcherOptions) {
		this.picker = new TargetPicker(options);
	}

	/** Serves a request to the end of its answer, or returns the problem to send to its caller. */
	async run(exchange: ForwardExchange): Promise<Result<void, Problem>> {
		try {
			return await this.serve(exchange);
		} finally {
			this.options.crashes.endTrial(exchange);
		}
	}

	private async serve(exchange: ForwardExchange): Promise<Result<void, Problem>> {
		const route = exchange.route!;
		exchange.service = pickService(route, this.options.random);
		this.options.retryBudget.noteRequest(exchange.service, this.options.clock());
		this.options.probes.noteRequest(exchange.service, route.maximumAttempts > 1);
		const progress: SendProgress = {
			delivery: new StreamDelivery(exchange),
			excluded: new Set(),
			sent: 0,
			misdirected: 0,
			attempts: 0,
			isNotRun: true,
			isUnsendable: false,
			isRetryCharged: false,
			reason: 'no target is registered, or all leave',
			failure: undefined,
			isExpired: false,
			reservation: undefined,
			hasMoved: false,
			hasLostConnection: false,
			inFlight: 0,
		};
		try {
			return await this.sendUntilAnswered(exchange, progress);
		} finally {
			this.picker.release(progress);
		}
	}

	private async sendUntilAnswered(exchange: ForwardExchange, progress: SendProgress): Promise<Result<void, Problem>> {
		for (;;) {
			const target = this.refuseLate(exchange, progress) ?? await this.picker.pick(exchange, progress);
			if ('detail' in target) {
				return this.conclude(exchange, progress, target);
			}

			const outcome = await this.sendTo(target, exchange, progress);
			const result = await this.handleOutcome(outcome, target, exchange, progress);
			if (result) {
				return result;
			}
		}
	}

	/* A request that may have run is sent again if it is expected to end in time: no refusal is true any more. */
	private refuseLate(exchange: ForwardExchange, {isNotRun, reason, reservation}: SendProgress): Refusal | undefined {
		const {stops, clock} = this.options;
		// For a request that was moved, this was decided before.
		if (reservation?.state === 'used' || stops.hasTimeFor(exchange, !isNotRun, clock())) {
			return undefined;
		}

		return isNotRun ? stopRefusal : {...stopRefusal, detail: `${reason}; ${stopDetail}`};
	}

	private async sendTo(target: Target, exchange: ForwardExchange, progress: SendProgress): Promise<SendOutcome> {
		const {inFlightCounts, tracker, clock, send, stalls, stops, onSend, log} = this.options;
		const now = clock();
		const remainingMs = exchange.deadline - now;
		if (exchange.disconnection.signal.aborted) {
			return {kind: 'not-run', reason: 'the caller left', wasSent: false};
		}

		if (remainingMs <= 0) {
			progress.isExpired = true;
			return {kind: 'not-run', reason: 'the deadline passed', wasSent: false};
		}

		// It may have waited for a permit.
		if (progress.isNotRun && this.refuseLate(exchange, progress)) {
			return {
				kind: 'not-run', reason: stopDetail, wasSent: false, cause: 'stopping',
			};
		}

		progress.inFlight = inFlightCounts.count(target.id, now);
		inFlightCounts.noteStart(target.id, now);
		tracker.noteSend(target.id, now);
		progress.isRetryCharged = false;
		onSend(exchange.service, progress.sent > 0);
		progress.attempts++;
		const onAnswerPart = this.options.crashes.watchAnswer(exchange);
		try {
			const outcome = await sendWithTimeouts({
				exchange,
				target,
				progress,
				stalls,
				stops,
				clock,
				reserve: reason => this.picker.reserve(exchange, progress, {target, reason}),
				send: async (signal, callbacks) => send({
					exchange, target, delivery: progress.delivery, signal, onAnswerPart, ...callbacks,
				}),
			});
			if (outcome.kind !== 'not-run') {
				stops.noteRun(exchange, clock() - now, clock());
			}

			return outcome;
		} catch (error) {
			// Whatever is thrown in an attempt is its outcome: it is not known how far the attempt had come.
			const {message, stack} = error as Error;
			log(`${exchange.metadata.id ?? '-'} at ${target.id}: internal error: ${stack}`);
			return {kind: 'lost', reason: `internal error: ${message}`};
		} finally {
			inFlightCounts.noteEnd(target.id);
		}
	}

	/* Records the outcome of one attempt; returns undefined to try another target. */
	private async handleOutcome(outcome: SendOutcome, target: Target, exchange: ForwardExchange, progress: SendProgress): Promise<Result<void, Problem> | undefined> {
		const now = this.options.clock();
		progress.isUnsendable = outcome.kind === 'not-run' && outcome.cause === 'invalid';
		const isOver = exchange.disconnection.signal.aborted || progress.isExpired || this.options.stops.isOver;
		switch (outcome.kind) {
			case 'streamed': {
				this.options.tracker.health.noteOutcome(target.id, false, now);
				this.options.crashes.noteAnswered(exchange, true);
				exchange.noteDecision(`streamed by ${target.id}`);
				return ok();
			}

			case 'answered': {
				progress.sent++;
				return this.handleAnswer(outcome.answer, target, exchange, progress);
			}

			case 'not-run': {
				progress.sent += outcome.wasSent ? 1 : 0;
				progress.misdirected += outcome.cause === 'gone' ? 1 : 0;
				this.noteFailure(target, outcome.reason, progress, exchange);
				this.noteCause(outcome, target, isOver, now);
				return isOver ? this.conclude(exchange, progress, {spread: retrySpreads.overload, detail: outcome.reason}) : undefined;
			}

			default: {
				progress.sent++;
				progress.isNotRun = false;
				this.noteFailure(target, outcome.reason, progress, exchange);
				// A connection that goes silent together with those to other targets is not the target's fault.
				progress.hasLostConnection = outcome.reason === silentConnectionReason;
				if (!isOver) {
					if (!progress.hasLostConnection) {
						this.options.tracker.health.noteOutcome(target.id, true, now);
					}

					if (outcome.isExcessive) {
						this.options.tracker.health.noteExcess(target.id, now);
					}

					// What the next attempt may be sent to, or whether it may be sent at all, depends on whether the target has crashed.
					await this.options.crashes.noteLost(exchange, target, outcome);
				}

				const mayRetry = exchange.isRetryable && !isOver;
				return mayRetry ? undefined : this.conclude(exchange, progress, {spread: retrySpreads.overload, detail: outcome.reason});
			}
		}
	}

	private handleAnswer(answer: Answer, target: Target, exchange: ForwardExchange, progress: SendProgress): Result<void, Problem> | undefined {
		const now = this.options.clock();
		const hasFailed = answer.status >= minimumServerError;
		this.options.tracker.health.noteOutcome(target.id, hasFailed, now);
		this.options.crashes.noteAnswered(exchange, answer.status < minimumClientError);
		exchange.noteDecision(`${answer.status} by ${target.id}`);
		if (progress.delivery.hasBegun) {
			progress.isNotRun = false;
			progress.excluded.add(target.id);
			progress.reason = `target answered ${answer.status} within a stream`;
			return undefined;
		}

		if (hasFailed && exchange.isRetryable) {
			progress.isNotRun = false;
			progress.failure = answer;
			progress.excluded.add(target.id);
			return undefined;
		}

		this.options.tracker.health.noteLatency(target.id, now - exchange.arrivedAt, now);
		relayBufferedAnswer(answer, exchange);
		return ok();
	}

	/* Updates what is known of the target, its group or its address by why the request did not run. */
	private noteCause({cause, wasSent}: Extract<SendOutcome, {kind: 'not-run'}>, target: Target, isOver: boolean, now: number): void {
		const {serviceBreaker, tracker: {directory, health}} = this.options;
		if (cause === 'group-down') {
			serviceBreaker.noteDown(getFailureDomain(target), now, `target ${target.id} refuses since its group has stopped`);
		} else if (cause === 'gone') {
			directory.markGone(target);
			serviceBreaker.allowNextProbe(getFailureDomain(target), now);
		} else if (!wasSent && !isOver && cause === undefined) {
			health.noteUnreachable(target.id, now);
		}
	}

	private noteFailure(target: Target, reason: string, progress: SendProgress, exchange: ForwardExchange): void {
		progress.reason = reason;
		progress.excluded.add(target.id);
		exchange.noteDecision(`${target.id} with ${progress.inFlight} in flight: ${reason}`);
	}

	private conclude(exchange: ForwardExchange, progress: SendProgress, {detail, spread, unavailableMs, retryAfterMs}: Refusal): Result<void, Problem> {
		if (progress.isUnsendable && progress.isNotRun) {
			return err(new Problem({
				status: 400, title: 'Bad request', detail: `the request cannot be sent on: ${progress.reason}`, outcome: 'not-run',
			}));
		}

		const {clock, random} = this.options;
		const leftMs = exchange.deadline - clock();
		const reservedMs = unavailableMs === undefined ? retryAfterMs : this.reserveRetry(exchange.service, leftMs, unavailableMs);
		return concludeRequest(exchange, progress, detail, reservedMs ?? chooseRetryDelay(leftMs, spread * random(), unavailableMs ?? 0));
	}

	/* Where all targets of a service have rate limits, retries are scheduled at this entry's share of their total rate. */
	private reserveRetry(service: string, leftMs: number, unavailableMs: number): number | undefined {
		const {tracker, clock, countRegistered, random} = this.options;
		const perSecond = tracker.getTotalRate(service) / Math.max(1, countRegistered());
		if (!Number.isFinite(perSecond)) {
			return undefined;
		}

		const latestMs = chooseRetryDelay(leftMs, 0, 0);
		return this.retries.reserve(service, {earliestMs: unavailableMs, latestMs, intervalMs: 1000 / perSecond}, random(), clock());
	}
}
