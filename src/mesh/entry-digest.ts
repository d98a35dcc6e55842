import {z} from 'zod';
import {EntryCountDigest} from '../balance/entry-count-digest.js';
import {CrashDigest} from '../balance/crash-digest.js';
import {PartDigest} from '../balance/part-digest.js';
import {LimitDigest} from '../balance/limit-digest.js';
import {Target} from '../fleet/target.js';

/** Part of the message `entry-load`: what entries report to each other beside their requests in flight. */
const EntryDigest = z.object({
	/** Ids of targets that refused the sender's last request; absent when there are none. */
	refusing: z.array(z.string()).optional(),
	/** Ids of targets that have recently recovered from refusals; absent when there are none. */
	recovered: z.array(z.string()).optional(),
	/** Target incarnations that have announced that they are leaving; absent when there are none. */
	leaves: z.array(Target.pick({id: true, bornAt: true})).optional(),
	/** Rate limits that targets have announced to the sender; absent when there are none. */
	limits: z.array(LimitDigest).optional(),
	/** Number of entries; absent in reports that are sent often. */
	entries: EntryCountDigest.optional(),
	/** Whether all entries have started for the first time, as far as the sender knows; absent if not. */
	isNewFleet: z.literal(true).optional(),
	/** Groups, or services whose groups are not known, that have sent the sender something within the last moments; absent when there are none. */
	active: z.array(z.string()).optional(),
	...CrashDigest.shape,
	...PartDigest.shape,
});
type EntryDigest = z.infer<typeof EntryDigest>;

export {EntryDigest};
