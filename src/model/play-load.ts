import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {GapForecast} from '../decisions/gap-forecast.js';
import {chooseRetryDelay} from '../forward/choose-retry-delay.js';
import {type LoadResult} from './load-result.js';
import {type LoadScenario} from './load-scenario.js';
import {LockStepGroup} from './lock-step-group.js';
import {type ModelStream} from './model-stream.js';
import {type policies} from './policies.js';

type Policy = (typeof policies)[keyof typeof policies];
type Arrival = {readonly at: number; readonly stream: ModelStream};

/** Part of the return time by which callers are spread, as entries do after an overload. */
const returnSpread = 0.6;
/** Queued at a rank beyond its slots before it counts as full. */
const queueLength = 2;
const secondMs = 1000;

/**
 * Plays streams against a group in lock step with a virtual clock; entries decide by the given policy.
 *
 * @param seed - the same seed gives the same callers, whatever the policy
 */
export function playLoad(scenario: LoadScenario, seed: number, policy: Policy): LoadResult {
	const arrivals = drawArrivals(scenario, seed);
	const generator = xoroshiro128plus(seed + 1_000_000);
	const group = new LockStepGroup(scenario);
	const forecasts = Array.from({length: scenario.entries}, () => new GapForecast());
	/* Streams under way at past moments: entries hear of them late. */
	const history: Array<{readonly at: number; readonly inFlight: number}> = [];
	const counts = {
		asked: arrivals.length, onTime: 0, late: 0, refused: 0,
	};

	const offer = ({stream, at}: Arrival): void => {
		const forecast = forecasts[Math.floor(uniformFloat64(generator) * scenario.entries)];
		const inFlight = history.findLast(entry => entry.at <= at - scenario.reportMs)?.inFlight ?? 0;
		const isFull = group.inFlight >= scenario.targets * (scenario.slots + queueLength);
		if (!isFull && policy({
			forecast, scenario, inFlight, isReturn: stream.isReturn,
		})) {
			group.take(stream);
			history.push({at, inFlight: group.inFlight});
		} else if (stream.isReturn) {
			counts.refused++;
		} else {
			const leftMs = scenario.deadlineMs - (at - stream.askedAt);
			insert(arrivals, {at: at + chooseRetryDelay(leftMs, returnSpread * uniformFloat64(generator), 0), stream: {...stream, isReturn: true}});
		}
	};

	for (let now = 0; arrivals.length > 0 || group.inFlight > 0;) {
		const passMs = group.inFlight > 0 ? group.measurePass(now) : Math.max(1, arrivals[0].at - now);
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

function drawArrivals(scenario: LoadScenario, seed: number): Arrival[] {
	const generator = xoroshiro128plus(seed);
	const draw = (mean: number): number => -Math.log(1 - uniformFloat64(generator)) * mean;
	const arrivals: Arrival[] = [];
	const end = scenario.seconds * secondMs;
	for (let at = draw(secondMs / scenario.streamsPerSecond); at < end; at += draw(secondMs / scenario.streamsPerSecond)) {
		arrivals.push({
			at,
			stream: {
				askedAt: at, isReturn: false, promptTokens: draw(scenario.promptTokens), events: 1 + Math.floor(draw(scenario.events)), isRead: false, eventTimes: [],
			},
		});
	}

	return arrivals;
}

function insert(arrivals: Arrival[], arrival: Arrival): void {
	const index = arrivals.findIndex(({at}) => at > arrival.at);
	arrivals.splice(index === -1 ? arrivals.length : index, 0, arrival);
}

function isOnTime({askedAt, isReturn, eventTimes}: ModelStream, {targetLatencyMs, targetGapMs}: LoadScenario): boolean {
	const isPrompt = !isReturn && eventTimes[0] - askedAt <= targetLatencyMs;
	return isPrompt && eventTimes.every((at, index) => index === 0 || at - eventTimes[index - 1] <= targetGapMs);
}
