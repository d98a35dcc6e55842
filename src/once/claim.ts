import {z} from 'zod';

/** Who may run the request with an idempotency key, and where. */
const Claim = z.strictObject({
	/** Id of the request that owns the key. */
	owner: z.string(),
	/** SHA-256 of method, path and body; a reused key must bring the same. */
	bodyHash: z.string(),
	/** The one target process that the owner may be sent to. */
	target: z.string(),
	incarnation: z.string(),
	/** When the owner claimed, milliseconds since the epoch. */
	at: z.number(),
	/** After this the target refuses the owner, milliseconds since the epoch. */
	expiresAt: z.number(),
});
type Claim = z.infer<typeof Claim>;

export {Claim};
