import {runAt} from '../callers/run-at.js';
import {type Target} from '../fleet/target.js';
import {type ForwardExchange} from './forward-exchange.js';
import {type SendOutcome} from './send-outcome.js';
import {type SendProgress} from './send-progress.js';
import {type StallDetector} from './stall-detector.js';
import {type TargetTransport} from './target-transport.js';

type SendOptions = {
	readonly exchange: ForwardExchange;
	readonly target: Target;
	readonly progress: SendProgress;
	readonly stalls: StallDetector;
	/** The present time, milliseconds; the request's deadline is on the same clock. */
	readonly clock: () => number;
	/** Sends the request; aborted by the signal. */
	readonly send: (signal: AbortSignal, callbacks: Pick<Parameters<TargetTransport['send']>[0], 'onConnection' | 'onProgress'>) => Promise<SendOutcome>;
};

/** Timeout of one attempt of an idempotent request, as a multiple of its route's target latency; it is then retried elsewhere. */
const attemptTimeoutFactor = 2.5;

/** Sends a request to one target; aborts at the deadline or attempt timeout, when the caller disconnects, or when the target stalls. */
export async function sendWithTimeouts({exchange, target, progress, stalls, clock, send}: SendOptions): Promise<SendOutcome> {
	const route = exchange.route!;
	const abort = new AbortController();
	const cancels = [runAt(exchange.deadline, clock, () => {
		progress.isExpired = true;
		abort.abort('the deadline passed');
	})];
	const attemptDeadline = clock() + (attemptTimeoutFactor * route.targetLatencyMs);
	if (route.kind === 'idempotent' && progress.sent + 1 < route.maximumAttempts && attemptDeadline < exchange.deadline) {
		cancels.push(runAt(attemptDeadline, clock, () => {
			abort.abort('no answer in time to be useful');
		}));
	}

	const handleDisconnect = (): void => {
		// A request that must not run twice is left to finish: its state after an abort would be unknown.
		if (exchange.isRetryable || route.kind === 'stream') {
			abort.abort('the caller left');
		}
	};

	exchange.disconnection.signal.addEventListener('abort', handleDisconnect, {once: true});
	const watch = exchange.isRetryable ? stalls.watch({target, abort, isWaitingForCaller: () => exchange.response.writableNeedDrain}) : undefined;
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
		for (const cancel of cancels) {
			cancel();
		}
	}
}
