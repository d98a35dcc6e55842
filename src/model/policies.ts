import {admitStream} from '../decisions/admit-stream.js';
import {type PauseForecast} from '../decisions/pause-forecast.js';
import {type LoadScenario} from './load-scenario.js';

/** Whether an entry admits a stream, from what it has seen and heard. */
type Policy = (situation: {
	readonly forecast: PauseForecast;
	readonly scenario: LoadScenario;
	/** Streams under way, as far as the entry has heard. */
	readonly inFlight: number;
	/** Whether the caller has come back after a refusal. */
	readonly isRetry: boolean;
}) => boolean;

/** Share of the longest pause that the usual one may take where spikes are not reckoned with. */
const maximumUsualPauseShare = 0.65;

const isAdmitted = ({forecast, scenario: {pace, targetGapMs, targets}, inFlight}: Parameters<Policy>[0], isLate: boolean): boolean => admitStream({
	forecast, pace, targetGapMs, inFlight, targets, isLate,
}).kind === 'admitted';

/** What the model compares, by name: the entry's own decision, the same with a part taken out, and none. */
export const policies: Readonly<Record<'pauses' | 'no room kept' | 'usual pace' | 'none', Policy>> = {
	/** As entries decide. */
	pauses: situation => isAdmitted(situation, situation.isRetry),
	/** No room kept for callers who can still be on time. */
	'no room kept': situation => isAdmitted(situation, false),
	/** By the usual pace alone, spikes not reckoned with. */
	'usual pace': ({forecast, scenario: {pace, targetGapMs, targets}, inFlight}) =>
		inFlight < targets * (forecast.getMostLoad(maximumUsualPauseShare * targetGapMs, pace) ?? Number.POSITIVE_INFINITY),
	/** Everybody, as far as targets have slots. */
	none: () => true,
};
