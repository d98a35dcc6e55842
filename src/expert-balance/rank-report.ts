import {z} from 'zod';

/** State of one rank of a lock-step group, as its engine reports it. */
const RankReport = z.object({
	/** Name of the group. */
	group: z.string(),
	/** Increases each time the group is re-formed; maps and holds do not survive that. */
	epoch: z.int(),
	rank: z.int().min(0),
	/** When the engine was started, Unix milliseconds; a restarted engine has lost its state. Absent if the engine does not report it. */
	bornAt: z.int().optional(),
	/** Number of ranks in the group. */
	size: z.int().min(1),
	/** Whether the group is running. */
	isOpen: z.boolean(),
	/** Last pass that was started. */
	step: z.int(),
	/** Version of the map in use; 0 is the group's initial map. */
	mapVersion: z.int(),
	/** Version of a map that is fully loaded but not in use yet. */
	preparedVersion: z.int().optional(),
	/** Map to which the rank switches when the given pass starts. */
	armed: z.object({version: z.int(), step: z.int()}).optional(),
	/** Pass that the group does not start until this rank is released. */
	heldStep: z.int().optional(),
	/** How many times slower than usual the rank is. */
	pace: z.number(),
});
type RankReport = z.infer<typeof RankReport>;

export {RankReport};
