import {Problem} from '../requests/problem.js';
import {stopRetryAfterMs} from './stop-retry-after-ms.js';

/** Makes the refusal of a request that a process which stops cannot serve any more. */
export function makeStopProblem(detail: string): Problem {
	return new Problem({
		status: 503, title: 'Stopping', detail, outcome: 'not-run', retryAfterMs: stopRetryAfterMs,
	});
}
