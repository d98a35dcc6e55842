import {z} from 'zod';

/** Leave to run one request at one target process, once, until it expires. */
const Ticket = z.strictObject({
	id: z.string(),
	service: z.string(),
	organisation: z.string(),
	target: z.string(),
	incarnation: z.string(),
	/** Milliseconds since the epoch. */
	expiresAt: z.number(),
});
type Ticket = z.infer<typeof Ticket>;

export {Ticket};
