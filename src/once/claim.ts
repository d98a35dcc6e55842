import {z} from 'zod';

/** The owner of an idempotency key, and the target at which it may run its request; stored as JSON. */
const Claim = z.strictObject({
	/** Id of the request that owns the key. */
	owner: z.string(),
	/** SHA-256 of method, path and body; a repeat of the key must have the same hash. */
	bodyHash: z.string(),
	/** The only target process that the owner's request may be sent to. */
	target: z.string(),
	incarnation: z.string(),
	/** When the claim was made, milliseconds since the epoch. */
	at: z.number(),
	/** Time after which the target refuses the owner's request, milliseconds since the epoch. */
	expiresAt: z.number(),
});
type Claim = z.infer<typeof Claim>;

export {Claim};
