import {type Target} from '../fleet/target.js';
import {type ForwardExchange} from './forward-exchange.js';
import {runAt} from './run-at.js';
import {type SendOutcome} from './send-outcome.js';
import {type SendProgress} from './send-progress.js';
import {type StallWatch} from './stall-watch.js';

type Limits = {
	readonly exchange: ForwardExchange;
	readonly target: Target;
	readonly progress: SendProgress;
	readonly stalls: StallWatch;
	/** The present, milliseconds; the request's deadline is by it. */
	readonly clock: () => number;
	/** Sends the request, until the signal ends it. */
	readonly send: (signal: AbortSignal, onProgress: () => void) => Promise<SendOutcome>;
};

/** An idempotent request that has no answer after this many times its latency objective is sent elsewhere. */
const patienceFactor = 2.5;

/** Runs one send, and ends it at the deadline, when the caller leaves, when it helps no more, or when its target is silent. */
export async function limitSend({exchange, target, progress, stalls, clock, send}: Limits): Promise<SendOutcome> {
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
		if (exchange.isRepeatable || route.kind === 'stream') {
			abort.abort('the caller left');
		}
	};

	exchange.departure.signal.addEventListener('abort', leave, {once: true});
	const watch = exchange.isRepeatable ? stalls.watch({target, abort, isHeldUp: () => exchange.response.writableNeedDrain}) : undefined;
	try {
		return await send(abort.signal, () => {
			watch?.progress();
		});
	} finally {
		watch?.stop();
		exchange.departure.signal.removeEventListener('abort', leave);
		for (const cancel of cancels) {
			cancel();
		}
	}
}
