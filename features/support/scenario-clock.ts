import {readClock} from '../../src/config/read-clock.js';

/** The process's clock, or a time at which it is held, plus an offset that scenarios increase. */
export class ScenarioClock {
	private offsetMs = 0;
	private heldAt: number | undefined;

	/** Present time, milliseconds since the epoch. */
	readonly read = (): number => (this.heldAt ?? readClock()) + this.offsetMs;

	/** Stops the clock, so that only `advance` moves it. */
	hold(): void {
		this.heldAt ??= readClock();
	}

	/** Moves the clock ahead by `ms` milliseconds. */
	advance(ms: number): void {
		this.offsetMs += ms;
	}
}
