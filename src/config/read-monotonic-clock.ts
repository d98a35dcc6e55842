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

/**
 * Returns the milliseconds since the process started, including time for which the VM was suspended; steps of the wall clock
 * have no effect.
 */
export function readMonotonicClock(): number {
	return clock.read();
}
