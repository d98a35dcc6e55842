import {readClock} from '../../src/config/read-clock.js';

/** The process's clock plus an offset that scenarios increase. */
export class ScenarioClock {
	private offsetMs = 0;

	/** Present time, milliseconds since the epoch. */
	readonly read = (): number => readClock() + this.offsetMs;

	/** Moves the clock ahead by `ms` milliseconds. */
	advance(ms: number): void {
		this.offsetMs += ms;
	}
}
