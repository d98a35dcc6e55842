import {performance} from 'node:perf_hooks';
import {readMonotonicClock} from './read-monotonic-clock.js';

/** The present in milliseconds since the epoch; never goes back while the process lives. */
export function readClock(): number {
	return performance.timeOrigin + readMonotonicClock();
}
