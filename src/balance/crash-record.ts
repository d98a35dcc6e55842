import {z} from 'zod';

/** A request that is refused since it crashes targets, as kept in the store. */
const CrashRecord = z.object({
	/** Target incarnations that crashed while they ran the request. */
	incarnations: z.array(z.string()),
	/** The subset of these in which the request had been running for some time at the crash. */
	met: z.array(z.string()),
});
type CrashRecord = z.infer<typeof CrashRecord>;

export {CrashRecord};
