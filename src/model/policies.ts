import {admitStream} from '../decisions/admit-stream.js';
import {type GapForecast} from '../decisions/gap-forecast.js';
import {type LoadScenario} from './load-scenario.js';

/** Decides whether an entry admits a stream, from its own observations and the last load report. */
type Policy = (situation: {
	readonly forecast: GapForecast;
	readonly scenario: LoadScenario;
	/** Streams in flight according to the last report. */
	readonly inFlight: number;
	/** Whether the caller retries after a refusal. */
	readonly isRetry: boolean;
}) => boolean;

/** Largest share of the longest allowed gap that the usual gap may take, for the policy that ignores spikes. */
const maximumUsualPauseShare = 0.65;

const isAdmitted = ({forecast, scenario: {pace, targetGapMs, targets}, inFlight}: Parameters<Policy>[0], isLate: boolean): boolean => admitStream({
	forecast, pace, targetGapMs, inFlight, targets, isLate,
}).kind === 'admitted';

/** The admission policies that `wardswitch lab` compares, by the name that it prints: that of the entries, two reduced forms of it, and none. */
export const policies: Readonly<Record<'pauses' | 'no room kept' | 'usual pace' | 'none', Policy>> = {
	/** The policy of the entries. */
	pauses: situation => isAdmitted(situation, situation.isRetry),
	/** As entries decide, but without reserved capacity for callers who can still be served on time. */
	'no room kept': situation => isAdmitted(situation, false),
	/** By the usual gap between events alone, ignoring spikes. */
	'usual pace': ({forecast, scenario: {pace, targetGapMs, targets}, inFlight}) =>
		inFlight < targets * (forecast.getMaximumLoad(maximumUsualPauseShare * targetGapMs, pace) ?? Number.POSITIVE_INFINITY),
	/** Admits every stream; only full targets refuse. */
	none: () => true,
};
