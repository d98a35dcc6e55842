import {type Target} from '../fleet/target.js';
import {type ForwardExchange} from './forward-exchange.js';
import {runAt} from './run-at.js';
import {type SendOutcome} from './send-outcome.js';
import {type SendProgress} from './send-progress.js';
import {type StallDetector} from './stall-detector.js';

type Limits = {
	readonly exchange: ForwardExchange;
	readonly target: Target;
	readonly progress: SendProgress;
	readonly stalls: StallDetector;
	/** The present, milliseconds; the request's deadline is by it. */
	readonly clock: () => number;
	/** Sends the request, until the signal ends it. */
	readonly send: (signal: AbortSignal, onProgress: () => void) => Promise<SendOutcome>;
};

/** An idempotent request that has no answer after this many times its latency objective is sent elsewhere. */
const patienceFactor = 2.5;

/** Runs one send, and ends it at the deadline, when the caller leaves, when it helps no more, or when its target is silent. */
export async function sendWithTimeouts({exchange, target, progress, stalls, clock, send}: Limits): Promise<SendOutcome> {
	const route = exchange.route!;
	const abort = new AbortController();
	const cancels = [runAt(exchange.deadline, clock, () => {
		progress.isExpired = true;
		abort.abort('the deadline passed');
	})];
	const patienceEnd = clock() + (patienceFactor * route.targetLatencyMs);
	if (route.kind === 'idempotent' && progress.sent + 1 < route.maximumAttempts && patienceEnd < exchange.deadline) {
		cancels.push(runAt(patienceEnd, clock, () => {
			abort.abort('no answer in time to be useful');
		}));
	}

	const leave = (): void => {
		// What must not run twice is left to end by itself: nobody could tell how far it came.
		if (exchange.isRetryable || route.kind === 'stream') {
			abort.abort('the caller left');
		}
	};

	exchange.disconnection.signal.addEventListener('abort', leave, {once: true});
	const watch = exchange.isRetryable ? stalls.watch({target, abort, isWaitingForCaller: () => exchange.response.writableNeedDrain}) : undefined;
	try {
		return await send(abort.signal, () => {
			watch?.noteProgress();
		});
	} finally {
		watch?.stop();
		exchange.disconnection.signal.removeEventListener('abort', leave);
		for (const cancel of cancels) {
			cancel();
		}
	}
}
