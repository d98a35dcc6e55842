import {Problem} from '../requests/problem.js';
import {stopRetryAfterMs} from './stop-retry-after-ms.js';

type KeyState = ConstructorParameters<typeof Problem>[0]['keyState'];

/** Makes the refusal of a request that a process which stops cannot serve any more; `keyState` says what is known of its key, if it has one. */
export function makeStopProblem(detail: string, keyState?: KeyState): Problem {
	return new Problem({
		status: 503, title: 'Stopping', detail, outcome: 'not-run', retryAfterMs: stopRetryAfterMs, keyState,
	});
}
