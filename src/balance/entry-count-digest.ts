import {z} from 'zod';

/** The highest number of entries that the sender has known, and how long ago; part of the message `entry-load`. */
const EntryCountDigest = z.object({
	count: z.int().min(1),
	agoMs: z.int().min(0),
});
type EntryCountDigest = z.infer<typeof EntryCountDigest>;

export {EntryCountDigest};
