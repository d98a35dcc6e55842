import {z} from 'zod';

/** The engines of one group of ranks, as its planner writes them into the store for entries. */
const GroupListing = z.object({
	/** Grows each time the group is formed anew: a later one says that it runs again. */
	epoch: z.int(),
	/** Address and port of each rank's engine. */
	engines: z.array(z.string()),
});
type GroupListing = z.infer<typeof GroupListing>;

export {GroupListing};
