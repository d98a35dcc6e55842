import {z} from 'zod';

/** The one value that names the table in force: its version, the change that made it, and its pages. */
const TableHead = z.strictObject({
	version: z.int().min(1),
	changeId: z.string(),
	/** The newest changes with their versions, this one first; they settle a write whose answer was lost. */
	recent: z.array(z.strictObject({changeId: z.string(), version: z.int()})),
	/** When the change was accepted, milliseconds since the epoch, by the operator's clock. */
	at: z.number(),
	operator: z.string(),
	/** Hashes of the pages; a row stands in the page that its key hashes to. */
	pages: z.array(z.string()),
});
type TableHead = z.infer<typeof TableHead>;

export {TableHead};
