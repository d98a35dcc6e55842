import {z} from 'zod';

/** What entries tell each other of requests that may crash their targets. */
const CrashDigest = z.object({
	/** By fingerprint, the lives of targets that have crashed as they ran the request. */
	suspects: z.record(z.string(), z.array(z.string())).optional(),
	/** Of these lives, those at which the request had run for longer when they crashed. */
	met: z.record(z.string(), z.array(z.string())).optional(),
	/** Fingerprints of requests that have been answered, and so are not what crashed a target. */
	cleared: z.array(z.string()).optional(),
});
type CrashDigest = z.infer<typeof CrashDigest>;

export {CrashDigest};
