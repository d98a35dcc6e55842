import {type Pace} from '../fleet/pace.js';

type Observation = {
	/** Mean time between two events of streams since the last observation, milliseconds. */
	readonly gapMs: number;
	/** Requests in flight at each target, by the mean over targets. */
	readonly load: number;
	readonly pace: Pace;
};

/**
 * Time in which what was seen fades to about a third, milliseconds. Slower passes count little at first: they last
 * for a second or two, until the experts are even again, and whoever is admitted meanwhile is late at worst, while
 * who is refused comes back when all is well and then crowds out others. Faster ones count at once, so that nobody is
 * refused for what is over. `wardswitch lab` plays both.
 */
const slowerMemoryMs = 6000;
const fasterMemoryMs = 400;
/** A gap between two observations counts for at most this time, milliseconds: one after a pause is one of many. */
const longestStepMs = 300;

/**
 * Forecasts the pauses within streams of a service whose targets work in lock step, from the figures that it publishes
 * and from how much longer its passes have taken lately (uneven experts, prompts that are read, slow ranks).
 */
export class PauseForecast {
	private slowdown: number | undefined;
	private observedAt = Number.NEGATIVE_INFINITY;

	/** Takes what was seen of the service's streams lately. */
	observe({gapMs, load, pace}: Observation, now: number): void {
		const sample = gapMs / this.getIdealPause(load, pace);
		const elapsedMs = Math.min(longestStepMs, now - this.observedAt);
		this.observedAt = now;
		this.slowdown ??= sample;
		const memoryMs = sample > this.slowdown ? slowerMemoryMs : fasterMemoryMs;
		this.slowdown += (sample - this.slowdown) * (1 - Math.exp(-elapsedMs / memoryMs));
	}

	/** Pause between two events with so many requests in flight at each target, milliseconds; undefined before any was seen. */
	predict(load: number, pace: Pace): number | undefined {
		return this.slowdown === undefined ? undefined : this.slowdown * this.getIdealPause(load, pace);
	}

	/** Most requests in flight at each target with which pauses last no longer than so; undefined before any was seen. */
	getMostLoad(pauseMs: number, {stepMs, requestMs, stepsPerEvent}: Pace): number | undefined {
		if (this.slowdown === undefined) {
			return undefined;
		}

		return Math.max(0, ((pauseMs / (this.slowdown * stepsPerEvent)) - stepMs) / requestMs);
	}

	private getIdealPause(load: number, {stepMs, requestMs, stepsPerEvent}: Pace): number {
		return stepsPerEvent * (stepMs + (requestMs * load));
	}
}
