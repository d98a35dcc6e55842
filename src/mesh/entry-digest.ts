import {z} from 'zod';
import {CrashDigest} from '../balance/crash-digest.js';
import {LimitDigest} from '../balance/limit-digest.js';
import {Target} from '../fleet/target.js';

/** What entries tell each other beside what they have in flight. */
const EntryDigest = z.object({
	/** Targets that have refused what the sender sent them last; absent where none has. */
	refusing: z.array(z.string()).optional(),
	/** Those that serve it again since lately; absent where none does. */
	recovered: z.array(z.string()).optional(),
	/** Lives of targets that have said that they leave; absent where none has. */
	leaves: z.array(Target.pick({id: true, bornAt: true})).optional(),
	/** Limits that targets have named to the sender; absent where none has. */
	limits: z.array(LimitDigest).optional(),
	...CrashDigest.shape,
});
type EntryDigest = z.infer<typeof EntryDigest>;

export {EntryDigest};
