import {z} from 'zod';
import {Pace} from '../fleet/pace.js';

/** Streams for one group that works in lock step, as the model plays them. */
const LoadScenario = z.strictObject({
	seconds: z.number().positive().meta({description: 'Time for which streams are asked for, seconds'}),
	streamsPerSecond: z.number().positive().meta({description: 'Streams asked for, by the mean; arrivals are independent'}),
	entries: z.int().min(1).default(6).meta({description: 'Entries that decide, each by what it last heard of the others'}),
	reportMs: z.number().min(0).default(60).meta({description: 'How old an entry\'s knowledge of the others is, milliseconds'}),
	targets: z.int().min(1).meta({description: 'Ranks of the group'}),
	slots: z.int().min(1).meta({description: 'Requests that a rank writes for at once'}),
	pace: Pace.meta({description: 'How fast a rank writes'}),
	tokensPerMs: z.number().positive().meta({description: 'Prompt tokens that a rank reads in a millisecond'}),
	promptTokens: z.number().positive().meta({description: 'Mean prompt, tokens; sizes are exponentially distributed'}),
	events: z.number().min(1).meta({description: 'Mean events of a stream; lengths are exponentially distributed'}),
	expertShare: z.number().min(0).max(1).meta({description: 'Share of a pass that goes to experts'}),
	skew: z.number().min(1).meta({description: 'Time of the rank whose experts are chosen most by the mean, while the expert map fits the demand'}),
	shift: z.strictObject({
		everyMs: z.number().positive().meta({description: 'Time from one shift of demand to the next, milliseconds'}),
		forMs: z.number().min(0).meta({description: 'Time for which the map does not fit after a shift, milliseconds'}),
		skew: z.number().min(1).meta({description: 'The same meanwhile'}),
	}).optional(),
	targetLatencyMs: z.number().positive().meta({description: 'Time to the first event that is on time, milliseconds'}),
	targetGapMs: z.number().positive().meta({description: 'Longest pause that is on time, milliseconds'}),
	deadlineMs: z.number().positive().meta({description: 'How long callers wait, milliseconds; refused ones return once'}),
	lateWorth: z.number().min(0).max(1).meta({description: 'Worth of a late answer by one on time'}),
});
type LoadScenario = z.infer<typeof LoadScenario>;

export {LoadScenario};
