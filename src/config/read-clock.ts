import {performance} from 'node:perf_hooks';
import {readMonotonicClock} from './read-monotonic-clock.js';

/** Returns the current time in Unix milliseconds. It never goes back within a process, also when the wall clock is set back. */
export function readClock(): number {
	return performance.timeOrigin + readMonotonicClock();
}
