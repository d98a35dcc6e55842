import {z} from 'zod';

/** Part of the message `entry-load`: requests that are suspected of crashing targets, as known to the sender. */
const CrashDigest = z.object({
	/** For each request fingerprint, the target incarnations that crashed while they ran the request. */
	suspects: z.record(z.string(), z.array(z.string())).optional(),
	/** The subset of these incarnations in which the request had been running for some time at the crash, so that it may not be the cause. */
	met: z.record(z.string(), z.array(z.string())).optional(),
	/** The subset of these incarnations to which the request was sent after an earlier crash was known; absent when there are none. */
	repeated: z.record(z.string(), z.array(z.string())).optional(),
	/** Fingerprints of requests that a target has answered, and that are therefore not the cause of a crash. */
	cleared: z.array(z.string()).optional(),
});
type CrashDigest = z.infer<typeof CrashDigest>;

export {CrashDigest};
