import {z} from 'zod';

/** The engines of one group of ranks, as its planner writes them to the store for the entries. */
const GroupListing = z.object({
	/** Changes each time the group is formed again; a change shows that the group is running again. */
	epoch: z.int(),
	/** Address and port of each rank's engine. */
	engines: z.array(z.string()),
});
type GroupListing = z.infer<typeof GroupListing>;

export {GroupListing};
