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
	readonly isReturn: boolean;
}) => boolean;

/** What the model compares, by name: the entry's own decision, and none. */
export const policies: Readonly<Record<'pauses' | 'none', Policy>> = {
	pauses: ({forecast, scenario: {pace, targetGapMs, targets}, inFlight, isReturn}) =>
		admitStream({
			forecast, pace, targetGapMs, inFlight, targets, isLate: isReturn,
		}).kind === 'admitted',
	none: () => true,
};
