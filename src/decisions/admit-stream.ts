import {type Pace} from '../fleet/pace.js';
import {type GapForecast} from './gap-forecast.js';

type AdmissionInput = {
	readonly forecast: GapForecast;
	readonly pace: Pace;
	/** Longest gap between two events of a stream that still counts as on time, milliseconds. */
	readonly targetGapMs: number;
	/** Requests in flight at all of these targets, over all entries. */
	readonly inFlight: number;
	readonly targets: number;
	/** Whether the caller has already been retrying for too long to be answered on time. */
	readonly isLate: boolean;
};

type Admission = {readonly kind: 'admitted'} | {
	readonly kind: 'refused';
	/** Forecast mean gap with one more stream, milliseconds. */
	readonly gapMs: number;
	/** Streams in flight that would be admitted. */
	readonly maximumInFlight: number;
};

/**
 * Upper and lower bound of the forecast mean gap, as shares of the target gap. One long gap makes the whole stream late,
 * and the longest of about twenty passes takes about 1.5 times their mean because of the prompts prefilled in it; this
 * gives the upper bound. Between the bounds, the limit is chosen so that a spike like the last one still meets the
 * target gap: this serves more streams on time than a full group that is late at each spike. The lower bound prevents
 * refusing more streams than a spike would make late.
 */
const maximumMeanGapShare = 0.65;
const minimumMeanGapShare = 0.5;
const spikeGapShare = 0.85;
/**
 * Share of the capacity reserved for callers that can still be answered on time. Refused callers retry together and
 * would otherwise take it from first attempts, of which more would then be refused and retry late.
 */
const onTimeReserveShare = 0.1;
/** Requests per target that are always admitted, so that the forecast keeps getting observations. */
const minimumLoad = 1;

/**
 * Decides whether a group of targets takes one more stream. The ranks of a group run in lock step, so each additional
 * stream makes every pass longer until all streams are late; refusing a few at once keeps the others on time.
 */
export function admitStream({forecast, pace, targetGapMs, inFlight, targets, isLate}: AdmissionInput): Admission {
	const maximumLoad = forecast.getMaximumLoad(maximumMeanGapShare * targetGapMs, pace);
	const reducedLoad = forecast.getMaximumLoad(minimumMeanGapShare * targetGapMs, pace);
	const spikeLoad = forecast.getMaximumLoadInSpike(spikeGapShare * targetGapMs, pace);
	if (maximumLoad === undefined || reducedLoad === undefined || spikeLoad === undefined || targets === 0) {
		return {kind: 'admitted'};
	}

	const load = Math.max(reducedLoad, Math.min(spikeLoad, maximumLoad)) * (isLate ? 1 - onTimeReserveShare : 1);
	const maximumInFlight = Math.floor(targets * Math.max(minimumLoad, load));
	if (inFlight < maximumInFlight) {
		return {kind: 'admitted'};
	}

	return {kind: 'refused', gapMs: forecast.predict((inFlight + 1) / targets, pace)!, maximumInFlight};
}
