import {z} from 'zod';

/** How long a target that writes for several requests together takes, as it is published. */
const Pace = z.object({
	/** Time of one step with nothing to write, milliseconds. */
	stepMs: z.number().min(0),
	/** What each request that is being written adds to a step, milliseconds. */
	requestMs: z.number().positive(),
	/** Steps from one event of a stream to the next. */
	stepsPerEvent: z.number().positive(),
});
type Pace = z.infer<typeof Pace>;

export {Pace};
