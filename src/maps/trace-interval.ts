import {z} from 'zod';

const tokens = z.number('expected a number of tokens').nonnegative('expected a number of tokens, 0 or more');
const layer = z.array(tokens, 'expected a list of experts').min(1, 'expected at least one expert');

/** One line of a trace: the loads of one interval. */
const TraceInterval = z.strictObject({
	atMs: z.number('expected a time in milliseconds'),
	loads: z.array(layer, 'expected a list of layers').min(1, 'expected at least one layer'),
});
type TraceInterval = z.infer<typeof TraceInterval>;

export {TraceInterval};
