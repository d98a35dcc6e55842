import {type Pace} from '../fleet/pace.js';

type Observation = {
	/** Mean gap between two events of a stream since the last observation, milliseconds. */
	readonly gapMs: number;
	/** Requests in flight per target, mean over the targets. */
	readonly load: number;
	readonly pace: Pace;
};

/**
 * Time constants of the mean slowdown, milliseconds. A rise is followed slowly: slow passes last a second or two, until
 * the expert load is balanced again. A stream admitted meanwhile is late at worst, but a refused one retries after the
 * slowdown and displaces others. A fall is followed fast, so that no stream is refused for a slowdown that is over.
 * `wardswitch lab` simulates both.
 */
const risingTimeConstantMs = 6000;
const fallingTimeConstantMs = 400;
/** Time constant of the recent slowdown, milliseconds: a mean over a few passes. */
const recentTimeConstantMs = 150;
/**
 * Time constant with which the peak slowdown decays, milliseconds. It outlasts the seconds between two spikes, so that
 * the next spike is allowed for before it begins.
 */
const peakTimeConstantMs = 8000;
/** The time between two observations counts as at most this long, milliseconds: one after a pause is a single sample. */
const maximumElapsedMs = 300;

/** Exponential smoothing over irregular intervals. */
const smooth = (from: number, to: number, elapsedMs: number, timeConstantMs: number): number => from + ((to - from) * (1 - Math.exp(-elapsedMs / timeConstantMs)));
const getIdealGap = (load: number, {stepMs, requestMs, stepsPerEvent}: Pace): number => stepsPerEvent * (stepMs + (requestMs * load));

/**
 * Forecasts the gaps between the events of streams, for targets that run in lock step. The gap is the ideal one of the
 * configured pace times a slowdown factor, learned from the gaps observed (unbalanced experts, prefill, slow ranks).
 */
export class GapForecast {
	/* Ratios of observed to ideal gaps. */
	private meanSlowdown: number | undefined;
	private recentSlowdown = 0;
	private peakSlowdown = 0;
	private observedAt = Number.NEGATIVE_INFINITY;

	/** Updates the forecast by what was observed of the streams since the last call; `now` in milliseconds. */
	observe({gapMs, load, pace}: Observation, now: number): void {
		const sample = gapMs / getIdealGap(load, pace);
		const elapsedMs = Math.min(maximumElapsedMs, now - this.observedAt);
		this.observedAt = now;
		if (this.meanSlowdown === undefined) {
			this.meanSlowdown = sample;
			this.recentSlowdown = sample;
		}

		this.meanSlowdown = smooth(this.meanSlowdown, sample, elapsedMs, sample > this.meanSlowdown ? risingTimeConstantMs : fallingTimeConstantMs);
		this.recentSlowdown = smooth(this.recentSlowdown, sample, elapsedMs, recentTimeConstantMs);
		this.peakSlowdown = Math.max(this.recentSlowdown, smooth(this.peakSlowdown, this.recentSlowdown, elapsedMs, peakTimeConstantMs));
	}

	/** Forecasts the mean gap with `load` requests in flight per target, milliseconds; undefined before the first observation. */
	predict(load: number, pace: Pace): number | undefined {
		return this.meanSlowdown === undefined ? undefined : this.meanSlowdown * getIdealGap(load, pace);
	}

	/** Requests in flight per target up to which the mean gap stays within `gapLimitMs`; undefined before the first observation. */
	getMaximumLoad(gapLimitMs: number, pace: Pace): number | undefined {
		return this.meanSlowdown === undefined ? undefined : this.findLoad(gapLimitMs / this.meanSlowdown, pace);
	}

	/** Requests in flight per target up to which gaps stay within `gapLimitMs` even in a spike like the last one; undefined before the first observation. */
	getMaximumLoadInSpike(gapLimitMs: number, pace: Pace): number | undefined {
		return this.meanSlowdown === undefined ? undefined : this.findLoad(gapLimitMs / this.peakSlowdown, pace);
	}

	private findLoad(idealGapMs: number, {stepMs, requestMs, stepsPerEvent}: Pace): number {
		return Math.max(0, ((idealGapMs / stepsPerEvent) - stepMs) / requestMs);
	}
}
