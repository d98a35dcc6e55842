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
/**
 * The worst of late is what passes took in the last spike: a mean over a few passes, kept over the seconds that demand
 * stands still for, so that the next spike is reckoned with before it begins.
 */
const newestMemoryMs = 150;
const worstMemoryMs = 8000;
/** A gap between two observations counts for at most this time, milliseconds: one after a pause is one of many. */
const longestStepMs = 300;

const fade = (from: number, to: number, elapsedMs: number, memoryMs: number): number => from + ((to - from) * (1 - Math.exp(-elapsedMs / memoryMs)));
const getIdealPause = (load: number, {stepMs, requestMs, stepsPerEvent}: Pace): number => stepsPerEvent * (stepMs + (requestMs * load));

/**
 * Forecasts the pauses within streams of a service whose targets work in lock step, from the figures that it publishes
 * and from how much longer its passes have taken lately (uneven experts, prompts that are read, slow ranks).
 */
export class PauseForecast {
	private usual: number | undefined;
	private newest = 0;
	private worst = 0;
	private observedAt = Number.NEGATIVE_INFINITY;

	/** Takes what was seen of the service's streams lately. */
	observe({gapMs, load, pace}: Observation, now: number): void {
		const sample = gapMs / getIdealPause(load, pace);
		const elapsedMs = Math.min(longestStepMs, now - this.observedAt);
		this.observedAt = now;
		if (this.usual === undefined) {
			this.usual = sample;
			this.newest = sample;
		}

		this.usual = fade(this.usual, sample, elapsedMs, sample > this.usual ? slowerMemoryMs : fasterMemoryMs);
		this.newest = fade(this.newest, sample, elapsedMs, newestMemoryMs);
		this.worst = Math.max(this.newest, fade(this.worst, this.newest, elapsedMs, worstMemoryMs));
	}

	/** Usual pause between two events with so many requests in flight at each target, milliseconds; undefined before any was seen. */
	predict(load: number, pace: Pace): number | undefined {
		return this.usual === undefined ? undefined : this.usual * getIdealPause(load, pace);
	}

	/** Most requests in flight at each target with which the usual pause lasts no longer than so; undefined before any was seen. */
	getMaximumLoad(pauseMs: number, pace: Pace): number | undefined {
		return this.usual === undefined ? undefined : this.findLoad(pauseMs / this.usual, pace);
	}

	/** The same, so that pauses last no longer even if passes become as slow as they were in the last spike. */
	getMaximumLoadInSpike(pauseMs: number, pace: Pace): number | undefined {
		return this.usual === undefined ? undefined : this.findLoad(pauseMs / this.worst, pace);
	}

	private findLoad(idealPauseMs: number, {stepMs, requestMs, stepsPerEvent}: Pace): number {
		return Math.max(0, ((idealPauseMs / stepsPerEvent) - stepMs) / requestMs);
	}
}
