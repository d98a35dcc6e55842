import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {GapForecast} from '../decisions/gap-forecast.js';
import {chooseRetryDelay} from '../forward/choose-retry-delay.js';
import {type LoadResult} from './load-result.js';
import {type LoadScenario} from './load-scenario.js';
import {LockStepGroup} from './lock-step-group.js';
import {type SimulatedStream} from './simulated-stream.js';
import {type policies} from './policies.js';

type Policy = (typeof policies)[keyof typeof policies];
type Arrival = {readonly at: number; readonly stream: SimulatedStream};

/** Share of the retry time over which retries are spread, as entries do after an overload. */
const retrySpread = 0.6;
/** Streams that wait at a rank, beyond its slots, before it counts as full. */
const maximumQueuedPerRank = 2;
const msPerSecond = 1000;

/**
 * Simulates callers that request streams from a lock-step group, with a virtual clock. Entries admit streams by the given policy.
 *
 * @param seed - seed of the random numbers; equal seeds give equal callers under every policy
 */
export function simulateLoad(scenario: LoadScenario, seed: number, policy: Policy): LoadResult {
	const arrivals = generateArrivals(scenario, seed);
	const generator = xoroshiro128plus(seed + 1_000_000);
	const group = new LockStepGroup(scenario);
	const forecasts = Array.from({length: scenario.entries}, () => new GapForecast());
	/* Past numbers of streams in flight. Entries decide by values that are reportMs old. */
	const loadHistory: Array<{readonly at: number; readonly inFlight: number}> = [];
	const counts = {
		asked: arrivals.length, onTime: 0, late: 0, refused: 0,
	};

	const handleArrival = ({stream, at}: Arrival): void => {
		const forecast = forecasts[Math.floor(uniformFloat64(generator) * scenario.entries)];
		const inFlight = loadHistory.findLast(entry => entry.at <= at - scenario.reportMs)?.inFlight ?? 0;
		const isFull = group.inFlight >= scenario.targets * (scenario.slots + maximumQueuedPerRank);
		if (!isFull && policy({
			forecast, scenario, inFlight, isRetry: stream.isRetry,
		})) {
			group.assign(stream);
			loadHistory.push({at, inFlight: group.inFlight});
		} else if (stream.isRetry) {
			counts.refused++;
		} else {
			const leftMs = scenario.deadlineMs - (at - stream.firstAttemptAt);
			insertArrival(arrivals, {at: at + chooseRetryDelay(leftMs, retrySpread * uniformFloat64(generator), 0), stream: {...stream, isRetry: true}});
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

			loadHistory.push({at: now, inFlight: group.inFlight});
			for (const forecast of forecasts) {
				forecast.observe({gapMs: passMs, load, pace: scenario.pace}, now);
			}
		}

		// Streams that arrived during the pass join the next one.
		while (arrivals.length > 0 && arrivals[0].at <= now) {
			handleArrival(arrivals.shift()!);
		}
	}

	return {...counts, worth: (counts.onTime + (scenario.lateWorth * counts.late)) / counts.asked};
}

function generateArrivals(scenario: LoadScenario, seed: number): Arrival[] {
	const generator = xoroshiro128plus(seed);
	const drawExponential = (mean: number): number => -Math.log(1 - uniformFloat64(generator)) * mean;
	const arrivals: Arrival[] = [];
	const end = scenario.seconds * msPerSecond;
	for (let at = drawExponential(msPerSecond / scenario.streamsPerSecond); at < end; at += drawExponential(msPerSecond / scenario.streamsPerSecond)) {
		arrivals.push({
			at,
			stream: {
				firstAttemptAt: at,
				isRetry: false,
				promptTokens: drawExponential(scenario.promptTokens),
				eventCount: 1 + Math.floor(drawExponential(scenario.events)),
				isPrefilled: false,
				eventTimes: [],
			},
		});
	}

	return arrivals;
}

function insertArrival(arrivals: Arrival[], arrival: Arrival): void {
	const index = arrivals.findIndex(({at}) => at > arrival.at);
	arrivals.splice(index === -1 ? arrivals.length : index, 0, arrival);
}

function isOnTime({firstAttemptAt, isRetry, eventTimes}: SimulatedStream, {targetLatencyMs, targetGapMs}: LoadScenario): boolean {
	const isPrompt = !isRetry && eventTimes[0] - firstAttemptAt <= targetLatencyMs;
	return isPrompt && eventTimes.every((at, index) => index === 0 || at - eventTimes[index - 1] <= targetGapMs);
}
