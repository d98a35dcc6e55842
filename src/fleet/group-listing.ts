import {z} from 'zod';

/** The engines of one group of ranks, as its planner writes them into the store for entries. */
const GroupListing = z.object({
	/** Another one each time the group is formed anew, which says that it runs again. */
	epoch: z.int(),
	/** Address and port of each rank's engine. */
	engines: z.array(z.string()),
});
type GroupListing = z.infer<typeof GroupListing>;

export {GroupListing};
