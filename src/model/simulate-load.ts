import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {PauseForecast} from '../decisions/pause-forecast.js';
import {chooseReturnTime} from '../forward/choose-return-time.js';
import {type LoadResult} from './load-result.js';
import {type LoadScenario} from './load-scenario.js';
import {LockStepGroup} from './lock-step-group.js';
import {type SimulatedStream} from './simulated-stream.js';
import {type policies} from './policies.js';

type Policy = (typeof policies)[keyof typeof policies];
type Arrival = {readonly at: number; readonly stream: SimulatedStream};

/** Part of the return time by which callers are spread, as entries do after an overload. */
const retrySpread = 0.6;
/** Queued at a rank beyond its slots before it counts as full. */
const maximumQueuedPerRank = 2;
const msPerSecond = 1000;

/**
 * Plays streams against a group in lock step with a virtual clock; entries decide by the given policy.
 *
 * @param seed - the same seed gives the same callers, whatever the policy
 */
export function simulateLoad(scenario: LoadScenario, seed: number, policy: Policy): LoadResult {
	const arrivals = generateArrivals(scenario, seed);
	const generator = xoroshiro128plus(seed + 1_000_000);
	const group = new LockStepGroup(scenario);
	const forecasts = Array.from({length: scenario.entries}, () => new PauseForecast());
	/* Streams under way at past moments: entries hear of them late. */
	const history: Array<{readonly at: number; readonly inFlight: number}> = [];
	const counts = {
		asked: arrivals.length, onTime: 0, late: 0, refused: 0,
	};

	const offer = ({stream, at}: Arrival): void => {
		const forecast = forecasts[Math.floor(uniformFloat64(generator) * scenario.entries)];
		const inFlight = history.findLast(entry => entry.at <= at - scenario.reportMs)?.inFlight ?? 0;
		const isFull = group.inFlight >= scenario.targets * (scenario.slots + maximumQueuedPerRank);
		if (!isFull && policy({
			forecast, scenario, inFlight, isRetry: stream.isRetry,
		})) {
			group.assign(stream);
			history.push({at, inFlight: group.inFlight});
		} else if (stream.isRetry) {
			counts.refused++;
		} else {
			const leftMs = scenario.deadlineMs - (at - stream.firstAttemptAt);
			insertArrival(arrivals, {at: at + chooseReturnTime(leftMs, retrySpread * uniformFloat64(generator), 0), stream: {...stream, isRetry: true}});
		}
	};

	for (let now = 0; arrivals.length > 0 || group.inFlight > 0;) {
		const passMs = group.inFlight > 0 ? group.getPassDuration(now) : Math.max(1, arrivals[0].at - now);
		const load = group.inFlight / scenario.targets;
		now += passMs;
		if (load > 0) {
			for (const stream of group.endPass(now)) {
				counts[isOnTime(stream, scenario) ? 'onTime' : 'late']++;
			}

			history.push({at: now, inFlight: group.inFlight});
			for (const forecast of forecasts) {
				forecast.observe({gapMs: passMs, load, pace: scenario.pace}, now);
			}
		}

		// What came during the pass takes part in the next.
		while (arrivals.length > 0 && arrivals[0].at <= now) {
			offer(arrivals.shift()!);
		}
	}

	return {...counts, worth: (counts.onTime + (scenario.lateWorth * counts.late)) / counts.asked};
}

function generateArrivals(scenario: LoadScenario, seed: number): Arrival[] {
	const generator = xoroshiro128plus(seed);
	const draw = (mean: number): number => -Math.log(1 - uniformFloat64(generator)) * mean;
	const arrivals: Arrival[] = [];
	const end = scenario.seconds * msPerSecond;
	for (let at = draw(msPerSecond / scenario.streamsPerSecond); at < end; at += draw(msPerSecond / scenario.streamsPerSecond)) {
		arrivals.push({
			at,
			stream: {
				firstAttemptAt: at, isRetry: false, promptTokens: draw(scenario.promptTokens), eventCount: 1 + Math.floor(draw(scenario.events)), isPrefilled: false, eventTimes: [],
			},
		});
	}

	return arrivals;
}

function insertArrival(arrivals: Arrival[], arrival: Arrival): void {
	const index = arrivals.findIndex(({at}) => at > arrival.at);
	arrivals.splice(index === -1 ? arrivals.length : index, 0, arrival);
}

function isOnTime({firstAttemptAt: askedAt, isRetry: isReturn, eventTimes}: SimulatedStream, {targetLatencyMs, targetGapMs}: LoadScenario): boolean {
	const isPrompt = !isReturn && eventTimes[0] - askedAt <= targetLatencyMs;
	return isPrompt && eventTimes.every((at, index) => index === 0 || at - eventTimes[index - 1] <= targetGapMs);
}
