import {z} from 'zod';
import {Revision} from '../key-value/revision.js';

const item = z.object({
	key: z.string(), value: z.string(), revision: z.int(), era: z.int().min(0),
});

/** A process's view of the store, as it is passed to a peer. */
const ViewSnapshot = z.object({
	/** Revision of the store that the view includes. */
	asOf: Revision,
	/** How long ago the view was known to be current, milliseconds. */
	ageMs: z.number(),
	items: z.array(item),
	/** Keys on which the sender goes on with what it knew against the items above; absent where there are none. */
	retained: z.array(z.object({
		key: z.string(),
		/** What counts instead; absent where the key counts as removed. */
		item: item.optional(),
		/** For how much longer, milliseconds; absent where only something newer ends it. */
		leftMs: z.number().optional(),
		/** Revision of the item above that it is kept against; absent where the store holds none. */
		storedRevision: z.int().optional(),
	})).optional(),
	/** What was removed lately and would not be believed if a copy of the store held it again; absent where there is nothing. */
	removed: z.array(z.object({item, agoMs: z.number()})).optional(),
});
type ViewSnapshot = z.infer<typeof ViewSnapshot>;

export {ViewSnapshot};
