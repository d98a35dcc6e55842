import {z} from 'zod';

/** The head of a table version: its version number, the change that made it, and its pages. Stored as one value, which is swapped to change the table. */
const TableHead = z.strictObject({
	version: z.int().min(1),
	changeId: z.string(),
	/** The latest changes and their versions, newest first; used to look up a write whose answer was lost. */
	recent: z.array(z.strictObject({changeId: z.string(), version: z.int()})),
	/** Time of the change by the operator's clock, milliseconds since the epoch. */
	at: z.number(),
	operator: z.string(),
	/** Hashes of the pages; the hash of a row's key selects its page. */
	pages: z.array(z.string()),
});
type TableHead = z.infer<typeof TableHead>;

export {TableHead};
