import {z} from 'zod';
import {Target} from '../fleet/target.js';

/** A target's rate limit as the sender read it in an answer of the target; part of the message `entry-load`. */
const LimitDigest = z.object({
	...Target.pick({id: true, bornAt: true}).shape,
	/** Requests per second that the target accepts from all entries together; absent when it has stopped announcing a limit. */
	perSecond: z.number().min(0).optional(),
	/** Age of the statement, milliseconds. */
	agoMs: z.number().min(0),
});
type LimitDigest = z.infer<typeof LimitDigest>;

export {LimitDigest};
