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
	/** Whether the caller has asked for so long that its answer cannot be on time any more. */
	readonly isLate: boolean;
};

type Admission = {readonly kind: 'admitted'} | {readonly kind: 'refused'; readonly pauseMs: number; readonly maximumInFlight: number};

/**
 * Shares of the longest pause that the usual one may take. One long pause makes a whole stream late, and the longest of
 * some twenty passes lasts about half as long again as their mean, by the prompts that are read in it: hence the most.
 * So few are admitted that a spike like the last one stays within the longest pause as well, which serves more on time
 * than a full group that is late at each spike; but not for so few that more would be refused than a spike makes late.
 */
const mostUsualShare = 0.65;
const leastUsualShare = 0.5;
const spikeShare = 0.85;
/**
 * Share of the room that is kept for callers who can still be on time. Callers who were refused return together, and
 * would take it from those who ask for the first time, of whom more would then be refused and return late.
 */
const punctualShare = 0.1;
/** Requests at each target that are always admitted, so that the forecast goes on learning. */
const leastLoad = 1;

/**
 * Pattern: more streams than a group that works in lock step can write in time. Each that is added makes every pass
 * longer, until all are late together; then a few are refused at once rather than all served late.
 */
export function admitStream({forecast, pace, targetGapMs, inFlight, targets, isLate}: Situation): Admission {
	const highest = forecast.getMaximumLoad(mostUsualShare * targetGapMs, pace);
	const lowest = forecast.getMaximumLoad(leastUsualShare * targetGapMs, pace);
	const inSpike = forecast.getMaximumLoadInSpike(spikeShare * targetGapMs, pace);
	if (highest === undefined || lowest === undefined || inSpike === undefined || targets === 0) {
		return {kind: 'admitted'};
	}

	const load = Math.max(lowest, Math.min(inSpike, highest)) * (isLate ? 1 - punctualShare : 1);
	const most = Math.floor(targets * Math.max(leastLoad, load));
	if (inFlight < most) {
		return {kind: 'admitted'};
	}

	return {kind: 'refused', pauseMs: forecast.predict((inFlight + 1) / targets, pace)!, maximumInFlight: most};
}
