import {z} from 'zod';
import {NodeSettings} from './node-settings.js';

/** Settings of `wardswitch-entry`. */
const EntrySettings = NodeSettings.extend({
	httpPort: z.int().min(0).max(65_535).meta({description: 'HTTP port for callers'}),
	stopDelayMs: z.int().min(0).default(3000).meta({description: 'Time at a planned stop in which /readyz says no and callers are still served, for the balancer to notice, milliseconds'}),
	requests: z.strictObject({
		defaultTimeoutMs: z.int().min(1).default(60_000).meta({description: 'Deadline of a request that names none, milliseconds'}),
		maximumBodyBytes: z.int().min(1).default(1024 * 1024).meta({description: 'Largest request body, bytes'}),
		maximumAttempts: z.int().min(1).default(3).meta({description: 'Most targets that one idempotent request is sent to'}),
		retryRatio: z.number().min(0).max(1).default(0.1).meta({description: 'Retries that each first attempt earns; ten are saved up at most'}),
		resumeMs: z.int().min(0).default(5000).meta({description: 'How long a broken link may be away before its streams count as lost, milliseconds'}),
	}).prefault({}),
	claims: z.strictObject({
		retentionSeconds: z.int().min(60).default(86_400).meta({description: 'How long an idempotency key is remembered, seconds'}),
		periodSeconds: z.int().min(10).default(3600).meta({description: 'How long one lease takes new claims before the next is granted, seconds'}),
	}).prefault({}),
	maps: z.strictObject({
		intervalMs: z.int().min(100).default(30_000).meta({description: 'Time between two looks at a group\'s expert loads, milliseconds'}),
	}).prefault({}),
	routing: z.strictObject({
		subsetSize: z.int().min(1).default(20).meta({description: 'Targets of one service that this entry keeps links to'}),
	}).prefault({}),
});
type EntrySettings = z.infer<typeof EntrySettings>;

export {EntrySettings};
