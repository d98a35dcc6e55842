import {z} from 'zod';

/** The experts that one rank holds, `experts[layer]`, under a version of the map. */
const RankPlacement = z.object({
	epoch: z.int(),
	version: z.int(),
	experts: z.array(z.array(z.int().min(0))),
});
type RankPlacement = z.infer<typeof RankPlacement>;

export {RankPlacement};
