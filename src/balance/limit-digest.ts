import {z} from 'zod';
import {Target} from '../fleet/target.js';

/** What an entry has read itself of a target's limit, for its peers. */
const LimitDigest = z.object({
	...Target.pick({id: true, bornAt: true}).shape,
	/** Requests per second that the target takes from all entries together; absent where it has stopped naming a limit. */
	perSecond: z.number().min(0).optional(),
	/** How long ago it was read, milliseconds. */
	agoMs: z.number().min(0),
});
type LimitDigest = z.infer<typeof LimitDigest>;

export {LimitDigest};
