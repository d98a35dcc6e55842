import {z} from 'zod';

/** The parts of prompts that are held against a crash of a target, as kept in the store. */
const PartCrashRecord = z.object({
	/** Parts of the requests that were lost as they began to run there, each with a tag of its request. */
	parts: z.record(z.string(), z.string()),
	/** The subset of these that a lost request was sent for trial of; absent if there are none. */
	tried: z.array(z.string()).optional(),
	/** The subset of these that is refused. */
	refused: z.array(z.string()),
});
type PartCrashRecord = z.infer<typeof PartCrashRecord>;

export {PartCrashRecord};
