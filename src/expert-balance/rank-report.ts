import {z} from 'zod';

/** The state of one rank of a group that runs in lock-step, as its engine reports it. */
const RankReport = z.object({
	/** Name of the group. */
	group: z.string(),
	/** Grows each time the group is formed anew; maps and holds do not outlive it. */
	epoch: z.int(),
	rank: z.int().min(0),
	/** When the engine was started, Unix milliseconds: one that starts again knows nothing of before. Absent where engines do not tell. */
	bornAt: z.int().optional(),
	/** Ranks of the group. */
	size: z.int().min(1),
	/** Whether the group runs. */
	isOpen: z.boolean(),
	/** Last pass that was begun. */
	step: z.int(),
	/** Version of the map in use; 0 is the one that a group starts with. */
	mapVersion: z.int(),
	/** Version of the map whose experts are all copied and which is not in use yet. */
	preparedVersion: z.int().optional(),
	/** Map to which the rank switches as a pass begins. */
	armed: z.object({version: z.int(), step: z.int()}).optional(),
	/** Pass that the group does not begin before it is released at this rank. */
	heldStep: z.int().optional(),
	/** How many times slower than usual the rank is. */
	pace: z.number(),
});
type RankReport = z.infer<typeof RankReport>;

export {RankReport};
