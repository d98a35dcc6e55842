import {z} from 'zod';

/** Permission to run one request once at one target process, until it expires. */
const Ticket = z.strictObject({
	id: z.string(),
	service: z.string(),
	organisation: z.string(),
	target: z.string(),
	incarnation: z.string(),
	/** Expiry, milliseconds since the epoch. */
	expiresAt: z.number(),
});
type Ticket = z.infer<typeof Ticket>;

export {Ticket};
