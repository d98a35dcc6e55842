import {z} from 'zod';
import {Pace} from '../fleet/pace.js';

/** Input of the load simulation: callers that request streams from one lock-step group. Read from a TOML file. */
const LoadScenario = z.strictObject({
	seconds: z.number().positive().meta({description: 'Period in which streams are requested, seconds'}),
	streamsPerSecond: z.number().positive().meta({description: 'Mean rate of stream requests; arrivals are a Poisson process'}),
	entries: z.int().min(1).default(6).meta({description: 'Entries; each admits streams by the last report that it has of the load'}),
	reportMs: z.number().min(0).default(60).meta({description: 'Age of the load reports that entries decide by, milliseconds'}),
	targets: z.int().min(1).meta({description: 'Ranks of the group'}),
	slots: z.int().min(1).meta({description: 'Requests that a rank processes at once'}),
	pace: Pace.meta({description: 'Decoding speed of a rank'}),
	tokensPerMs: z.number().positive().meta({description: 'Prompt tokens that a rank processes per millisecond'}),
	promptTokens: z.number().positive().meta({description: 'Mean prompt length, tokens; lengths are exponentially distributed'}),
	events: z.number().min(1).meta({description: 'Mean number of events per stream; lengths are exponentially distributed'}),
	expertShare: z.number().min(0).max(1).meta({description: 'Share of the time of a pass that experts take'}),
	skew: z.number().min(1).meta({description: 'Expert time of the most loaded rank divided by the mean over ranks, while the expert map fits the demand'}),
	shift: z.strictObject({
		everyMs: z.number().positive().meta({description: 'Interval between shifts of demand, milliseconds'}),
		forMs: z.number().min(0).meta({description: 'Time after a shift during which the map does not fit the demand, milliseconds'}),
		skew: z.number().min(1).meta({description: 'Skew during that time'}),
	}).optional(),
	targetLatencyMs: z.number().positive().meta({description: 'Longest time to the first event that counts as on time, milliseconds'}),
	targetGapMs: z.number().positive().meta({description: 'Longest gap between events that counts as on time, milliseconds'}),
	deadlineMs: z.number().positive().meta({description: 'Deadline of callers, milliseconds; a refused caller retries once'}),
	lateWorth: z.number().min(0).max(1).meta({description: 'Value of a late answer relative to one on time'}),
});
type LoadScenario = z.infer<typeof LoadScenario>;

export {LoadScenario};
