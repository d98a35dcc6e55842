import {z} from 'zod';

/** One line of a trace: the loads of one interval. */
const TraceInterval = z.strictObject({
	atMs: z.number('expected a time in milliseconds'),
	loads: z.array(z.array(z.number('expected a number of tokens').nonnegative('expected a number of tokens, 0 or more')).min(1, 'expected at least one expert'), 'expected a list of layers').min(1, 'expected at least one layer'),
});
type TraceInterval = z.infer<typeof TraceInterval>;

export {TraceInterval};
