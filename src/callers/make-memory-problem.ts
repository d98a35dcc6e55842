import {Problem} from '../requests/problem.js';

/** When to retry, milliseconds: another entry may have memory left. */
const retryAfterMs = 250;

/** Returns the answer to a request for which no memory is left; nothing of it has been sent to a target. */
export function makeMemoryProblem(): Problem {
	return new Problem({
		status: 503, title: 'Out of memory', detail: 'this entry has no memory left for the request', outcome: 'not-run', retryAfterMs,
	});
}
