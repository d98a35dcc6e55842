import {z} from 'zod';

/** How often a rank's requests have chosen each expert since its engine started: `chosen[layer][expert]`. */
const ExpertCounts = z.object({
	/** Step of the group at which the counts were read. */
	step: z.int(),
	epoch: z.int(),
	/** When the engine that counts was started, Unix milliseconds; absent if the engine does not report it. */
	bornAt: z.int().optional(),
	chosen: z.array(z.array(z.number())),
});
type ExpertCounts = z.infer<typeof ExpertCounts>;

export {ExpertCounts};
