import {z} from 'zod';

/** Step times of a target that generates the streams of several requests in one batch, as published in the configuration. */
const Pace = z.object({
	/** Duration of a step with an empty batch, milliseconds. */
	stepMs: z.number().min(0),
	/** Time that each request in the batch adds to a step, milliseconds. */
	requestMs: z.number().positive(),
	/** Steps between two events of a stream. */
	stepsPerEvent: z.number().positive(),
});
type Pace = z.infer<typeof Pace>;

export {Pace};
