import {z} from 'zod';

/** Longest name of a part, and tag of a request, in a record, characters, since reports to peers carry them: longer names are kept as hashes. */
const maximumNameLength = 400;
const name = z.string().max(maximumNameLength);

/** The parts of prompts that are held against a crash of a target, as kept in the store. */
const PartCrashRecord = z.object({
	/** Parts of the requests that were lost as they began to run there, each with a tag of its request. */
	parts: z.record(name, name),
	/** The subset of these that a lost request was sent for trial of; absent if there are none. */
	tried: z.array(name).optional(),
	/** The subset of these that is refused. */
	refused: z.array(name),
});
type PartCrashRecord = z.infer<typeof PartCrashRecord>;

export {PartCrashRecord};
