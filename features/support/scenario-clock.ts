import {readClock} from '../../src/config/read-clock.js';

/** A clock that scenarios move ahead: the running clock plus what was added. */
export class ScenarioClock {
	private offsetMs = 0;

	readonly read = (): number => readClock() + this.offsetMs;

	/** Moves the clock ahead by `ms` milliseconds. */
	advance(ms: number): void {
		this.offsetMs += ms;
	}
}
