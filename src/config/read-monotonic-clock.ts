import {uptime} from 'node:os';
import {performance} from 'node:perf_hooks';
import {getLogger} from '../log/get-logger.js';
import {SuspendAwareClock} from './suspend-aware-clock.js';

const logger = getLogger('clock');
const clock = new SuspendAwareClock({
	readMonotonic: () => performance.now(),
	readWallClock: () => Date.now(),
	readUptime: () => uptime() * 1000,
	log(message) {
		logger.info(message);
	},
});

/** Milliseconds since the process started; a step of the time of day does not move it. */
export function readMonotonicClock(): number {
	return clock.read();
}
