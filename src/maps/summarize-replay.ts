import {type ReplayInterval} from './replay-interval.js';
import {type ReplaySummary} from './replay-summary.js';

const getMean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

const getQuantile = (values: readonly number[], quantile: number): number => {
	const sorted = values.toSorted((one, other) => one - other);
	return sorted[Math.min(sorted.length - 1, Math.ceil(quantile * sorted.length) - 1)];
};

/** Summarizes a replay. */
export function summarizeReplay(intervals: readonly ReplayInterval[]): ReplaySummary {
	const skews = intervals.map(({skew}) => skew);
	const times = intervals.map(({planningMs}) => planningMs);
	return {
		intervals: intervals.length,
		meanSkew: getMean(skews),
		p95Skew: getQuantile(skews, 0.95),
		boundSkew: getMean(intervals.map(({bound}) => bound)),
		moves: intervals.reduce((sum, {moves}) => sum + moves, 0),
		switches: intervals.filter(({moves}) => moves > 0).length,
		planningP50Ms: getQuantile(times, 0.5),
		planningP99Ms: getQuantile(times, 0.99),
	};
}
