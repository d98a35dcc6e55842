import {z} from 'zod';

/** Part of the message `entry-load`: parts of prompts that are suspected of crashing targets, as known to the sender. */
const PartDigest = z.object({
	/** For each target incarnation that has crashed, the suspected parts of the requests that were lost as they began to run there, with a tag of the request. */
	partCrashes: z.record(z.string(), z.record(z.string(), z.string())).optional(),
	/** For the same incarnations, those of the parts that a lost request was sent for trial of; absent when there are none. */
	triedParts: z.record(z.string(), z.array(z.string())).optional(),
	/** Target incarnations that the sender has just seen crash. */
	crashed: z.array(z.string()).optional(),
	/** Parts that the sender refuses, as requests without them fare better; absent when there are none. */
	refusedParts: z.array(z.string()).optional(),
	/** Suspected parts that a target has answered a request with, and that are therefore not the cause of a crash. */
	soundParts: z.array(z.string()).optional(),
	/** Suspected parts of requests that the sender is trying: no other request with such a part is sent meanwhile. */
	trialParts: z.array(z.string()).optional(),
});
type PartDigest = z.infer<typeof PartDigest>;

export {PartDigest};
