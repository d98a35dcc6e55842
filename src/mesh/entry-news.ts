import {z} from 'zod';
import {CrashWord} from '../balance/crash-word.js';
import {LimitWord} from '../balance/limit-word.js';
import {Target} from '../fleet/target.js';

/** What entries tell each other beside what they have in flight. */
const EntryNews = z.object({
	/** Targets that have refused what the sender sent them last; absent where none has. */
	refusing: z.array(z.string()).optional(),
	/** Those that serve it again since lately; absent where none does. */
	recovered: z.array(z.string()).optional(),
	/** Lives of targets that have said that they leave; absent where none has. */
	leaves: z.array(Target.pick({id: true, bornAt: true})).optional(),
	/** Limits that targets have named to the sender; absent where none has. */
	limits: z.array(LimitWord).optional(),
	...CrashWord.shape,
});
type EntryNews = z.infer<typeof EntryNews>;

export {EntryNews};
