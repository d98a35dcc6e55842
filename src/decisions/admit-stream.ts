import {type Pace} from '../fleet/pace.js';
import {type PauseForecast} from './pause-forecast.js';

type Situation = {
	readonly forecast: PauseForecast;
	readonly pace: Pace;
	/** Longest pause within a stream that is still on time, milliseconds. */
	readonly targetGapMs: number;
	/** Requests in flight at all targets of the service, over all entries. */
	readonly inFlight: number;
	readonly targets: number;
};

type Admission = {readonly kind: 'admitted'} | {readonly kind: 'refused'; readonly pauseMs: number; readonly most: number};

/**
 * Share of the longest pause that the usual one may take. One long pause makes a whole stream late, and the longest of
 * some twenty passes lasts about half as long again as their mean, by the prompts that are read in it. In the model of
 * 12 ranks and 39 streams a second (`examples/lab.toml`) shares of 0.5, 0.6, 0.7 and none give a worth of 0.55, 0.62,
 * 0.51 and 0.37 while demand shifts, and 0.73, 0.93, 0.99 and 0.92 while it stands still.
 */
const meanShare = 0.6;
/** Requests at each target that are always admitted, so that the forecast goes on learning. */
const leastLoad = 1;

/**
 * Pattern: more streams than a group that works in lock step can write in time. Each that is added makes every pass
 * longer, until all are late together; then a few are refused at once rather than all served late.
 */
export function admitStream({forecast, pace, targetGapMs, inFlight, targets}: Situation): Admission {
	const mostLoad = forecast.getMostLoad(meanShare * targetGapMs, pace);
	if (mostLoad === undefined || targets === 0) {
		return {kind: 'admitted'};
	}

	const most = Math.floor(targets * Math.max(leastLoad, mostLoad));
	if (inFlight < most) {
		return {kind: 'admitted'};
	}

	return {kind: 'refused', pauseMs: forecast.predict((inFlight + 1) / targets, pace)!, most};
}
