import {z} from 'zod';
import {NodeSettings} from './node-settings.js';
import {ProcessLimits} from './process-limits.js';

/** Settings of `wardswitch-entry`. */
const EntrySettings = NodeSettings.extend({
	httpPort: z.int().min(0).max(65_535).meta({description: 'HTTP port for callers'}),
	stopDelayMs: z.int().min(0).default(3000).meta({description: 'Time at a planned stop during which /readyz is not ready and callers are still served, for the balancer to notice, milliseconds'}),
	stopMs: z.int().min(0).default(600_000).meta({description: 'Maximum wait for open requests at a planned stop, milliseconds'}),
	requests: z.strictObject({
		defaultTimeoutMs: z.int().min(1).default(60_000).meta({description: 'Deadline of a request that sets none, milliseconds'}),
		maximumBodyBytes: z.int().min(1).default(1024 * 1024).meta({description: 'Largest request body, bytes'}),
		maximumAttempts: z.int().min(1).default(3).meta({description: 'Maximum number of targets that one idempotent request is sent to'}),
		retryRatio: z.number().min(0).max(1).default(0.1).meta({description: 'Retry budget added by each first attempt, in retries; at most ten are accumulated'}),
		resumeMs: z.int().min(0).default(5000).meta({description: 'Time within which a broken link must be restored before its streams count as lost, milliseconds'}),
	}).prefault({}),
	limits: ProcessLimits.prefault({}),
	claims: z.strictObject({
		retentionSeconds: z.int().min(60).default(86_400).meta({description: 'Retention of an idempotency key, seconds'}),
		periodSeconds: z.int().min(10).default(3600).meta({description: 'Time during which new claims are attached to one lease before the next lease is granted, seconds'}),
	}).prefault({}),
	maps: z.strictObject({
		intervalMs: z.int().min(100).default(30_000).meta({description: 'Interval between reads of a group\'s expert loads, milliseconds'}),
	}).prefault({}),
	routing: z.strictObject({
		subsetSize: z.int().min(1).default(20).meta({description: 'Number of targets of one service that this entry keeps links to'}),
	}).prefault({}),
});
type EntrySettings = z.infer<typeof EntrySettings>;

export {EntrySettings};
