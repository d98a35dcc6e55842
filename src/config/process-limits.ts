import {z} from 'zod';

/** Limits on what callers may make a process hold. */
const ProcessLimits = z.strictObject({
	heldBytes: z.int().min(1024 * 1024).optional().meta({
		description: 'Memory that all callers together may make the process hold, bytes; by default 0.3 of the limit of the heap, at most 0.18 of the VM\'s memory and 64 MB',
	}),
	descriptors: z.int().min(64).default(4000).meta({
		description: 'Descriptors that the process may use, if the system allows no fewer: 0.65 for callers and 0.35 for targets, after a quarter, 256 at most, for all else',
	}),
});
type ProcessLimits = z.infer<typeof ProcessLimits>;

export {ProcessLimits};
