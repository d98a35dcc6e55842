import {z} from 'zod';
import {Revision} from '../key-value/revision.js';

const item = z.object({
	key: z.string(), value: z.string(), revision: z.int(), era: z.int().min(0),
});

/** A process's view of the store, in the form sent to peers. */
const ViewSnapshot = z.object({
	/** Revision of the store that the view includes. */
	asOf: Revision,
	/** Time since the view was last known to be up to date, milliseconds. */
	ageMs: z.number(),
	items: z.array(item),
	/** Keys for which the sender overrides the items above; absent if there are none. */
	retained: z.array(z.object({
		key: z.string(),
		/** The overriding item; absent if the key is treated as removed. */
		item: item.optional(),
		/** Time until the override expires, milliseconds; absent if it holds until a newer value is written. */
		leftMs: z.number().optional(),
		/** Revision of the stored item that is overridden; absent if the store holds none. */
		storedRevision: z.int().optional(),
	})).optional(),
	/** Recently removed items, to be ignored if a restored store holds them again; absent if there are none. */
	removed: z.array(z.object({
		item,
		agoMs: z.number(),
		/** Whether no removal was seen: the item was missing after a restore, and not written again in time. */
		isDropped: z.boolean().optional(),
	})).optional(),
	/** Keys that the sender ignores, though it does not know whether they were removed; absent if there are none. */
	presumed: z.array(z.string()).optional(),
	/** Revision since which the sender, or a peer before it, has recorded removals. */
	recordedFrom: Revision.optional(),
});
type ViewSnapshot = z.infer<typeof ViewSnapshot>;

export {ViewSnapshot};
