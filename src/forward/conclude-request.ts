import {err, ok, type Result} from 'neverthrow';
import {Problem} from '../requests/problem.js';
import {type ForwardExchange} from './forward-exchange.js';
import {relayBufferedAnswer} from './relay-buffered-answer.js';
import {type SendProgress} from './send-progress.js';

/**
 * Ends a request that no further target is asked for: a stream that has begun breaks visibly, a failure that a target
 * answered is passed on, and otherwise the caller is told whether the request may have run.
 *
 * @param detail - why no further target is asked
 * @param retryAfterMs - when the caller should come back if it has not run, milliseconds
 */
export function concludeRequest(exchange: ForwardExchange, progress: SendProgress, detail: string, retryAfterMs: number): Result<void, Problem> {
	if (progress.delivery.hasBegun) {
		// What the caller has must not pass for a whole answer.
		exchange.response.destroy();
		exchange.noteDecision(`broken off: ${detail}`);
		return ok();
	}

	if (progress.failure) {
		relayBufferedAnswer(progress.failure, exchange);
		return ok();
	}

	if (progress.isNotRun) {
		return err(new Problem({
			status: 503, title: 'No target takes the request', detail, outcome: 'not-run', retryAfterMs,
		}));
	}

	return err(new Problem({
		status: progress.isExpired ? 504 : 502, title: 'Not known whether the request ran', detail, outcome: 'unknown',
	}));
}
