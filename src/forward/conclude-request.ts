import {err, ok, type Result} from 'neverthrow';
import {cutAnswer} from '../callers/cut-answer.js';
import {Problem} from '../requests/problem.js';
import {type ForwardExchange} from './forward-exchange.js';
import {relayBufferedAnswer} from './relay-buffered-answer.js';
import {type SendProgress} from './send-progress.js';

/**
 * Ends a request that is not sent to another target: a stream that has begun is cut, a target's error response is
 * relayed, and otherwise the result says whether the request may have run.
 *
 * @param detail - why the request is not sent again
 * @param retryAfterMs - when the caller should retry if the request did not run, milliseconds
 */
export function concludeRequest(exchange: ForwardExchange, progress: SendProgress, detail: string, retryAfterMs: number): Result<void, Problem> {
	if (progress.delivery.hasBegun) {
		// The caller must not take the partial answer for a complete one.
		cutAnswer(exchange.response);
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
