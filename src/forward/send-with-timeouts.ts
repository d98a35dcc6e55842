import {runAt} from '../callers/run-at.js';
import {type Target} from '../fleet/target.js';
import {type ForwardExchange} from './forward-exchange.js';
import {type SendOutcome} from './send-outcome.js';
import {type SendProgress} from './send-progress.js';
import {type StallDetector} from './stall-detector.js';
import {type StopAdmission} from './stop-admission.js';
import {stopDetail} from './stop-detail.js';
import {type TargetTransport} from './target-transport.js';

type SendOptions = {
	readonly exchange: ForwardExchange;
	readonly target: Target;
	readonly progress: SendProgress;
	readonly stalls: StallDetector;
	readonly stops: StopAdmission;
	/** The present time, milliseconds; the request's deadline is on the same clock. */
	readonly clock: () => number;
	/** Reserves another attempt, at another target; returns why none is possible now, undefined once it is reserved. */
	readonly reserve: (reason: string) => string | undefined;
	/** Sends the request; aborted by the signal. */
	readonly send: (signal: AbortSignal, callbacks: Pick<Parameters<TargetTransport['send']>[0], 'onConnection' | 'onProgress'>) => Promise<SendOutcome>;
};

/** Timeout of one attempt of an idempotent request, as a multiple of its route's target latency; it is then retried elsewhere. */
const attemptTimeoutFactor = 2.5;
/** After the attempt timeout, another attempt is tried to be reserved at this interval, milliseconds. */
const reserveIntervalMs = 200;

/**
 * Sends a request to one target; aborts at the deadline, at the end of a planned stop, and when the caller disconnects. After the attempt timeout, or when the target
 * stalls, the attempt ends only if another one is possible: a target that lets a request wait may still answer it.
 */
export async function sendWithTimeouts({exchange, target, progress, stalls, stops, clock, reserve, send}: SendOptions): Promise<SendOutcome> {
	const route = exchange.route!;
	const abort = new AbortController();
	let isHeld = false;
	const move = (reason: string): boolean => {
		const obstacle = reserve(reason);
		if (obstacle === undefined) {
			abort.abort(reason);
			return true;
		}

		if (!isHeld) {
			isHeld = true;
			exchange.noteDecision(`${target.id}: ${reason}; the attempt goes on, since ${obstacle}`);
		}

		return false;
	};

	let cancelMove = (): void => undefined;
	const moveAt = (time: number): void => {
		cancelMove = runAt(time, clock, () => {
			if (!move('no answer in time to be useful')) {
				moveAt(clock() + reserveIntervalMs);
			}
		});
	};

	const cancelDeadline = runAt(exchange.deadline, clock, () => {
		progress.isExpired = true;
		abort.abort('the deadline passed');
	});
	const attemptDeadline = clock() + (attemptTimeoutFactor * route.targetLatencyMs);
	if (route.kind === 'idempotent' && progress.sent + 1 < route.maximumAttempts && attemptDeadline < exchange.deadline) {
		moveAt(attemptDeadline);
	}

	const handleDisconnect = (): void => {
		// A request that must not run twice is left to finish: its state after an abort would be unknown.
		if (exchange.isRetryable || route.kind === 'stream') {
			abort.abort('the caller left');
		}
	};

	exchange.disconnection.signal.addEventListener('abort', handleDisconnect, {once: true});
	const watched = {
		target, move, hasMoved: progress.hasMoved, isWaitingForCaller: () => exchange.response.writableNeedDrain,
	};
	const cancelStop = stops.watchRun(() => {
		// A stream that has begun gets all that arrives until its connection closes.
		if (!progress.delivery.hasBegun) {
			abort.abort(stopDetail);
		}
	});
	const watch = exchange.isRetryable ? stalls.watch(watched) : undefined;
	try {
		return await send(abort.signal, {
			onConnection(aliveAt) {
				watch?.noteConnection(aliveAt);
			},
			onProgress() {
				watch?.noteProgress();
			},
		});
	} finally {
		watch?.stop();
		exchange.disconnection.signal.removeEventListener('abort', handleDisconnect);
		cancelDeadline();
		cancelStop();
		cancelMove();
	}
}
