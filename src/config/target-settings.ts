import {z} from 'zod';
import {NodeSettings} from './node-settings.js';
import {ProcessLimits} from './process-limits.js';

/** Settings of `wardswitch-target`. */
const TargetSettings = NodeSettings.extend({
	service: z.string().min(1).meta({description: 'Service that the target belongs to'}),
	kind: z.enum(['model', 'plain']).meta({description: 'A model engine, or a plain HTTP service'}),
	group: z.string().min(1).optional().meta({description: 'Group of ranks that the engine is part of'}),
	rank: z.int().min(0).optional().meta({description: 'Rank of the engine in its group'}),
	ranks: z.int().min(1).default(1).meta({description: 'Number of ranks in that group'}),
	url: z.url().meta({description: 'Base URL of the engine or service, on loopback'}),
	checksFencing: z.boolean().default(true).meta({description: 'Whether the engine refuses an order with an old fencing number by itself'}),
	admission: z.strictObject({
		concurrency: z.int().min(1).default(32).meta({description: 'Maximum number of requests that the engine runs concurrently'}),
		queueLength: z.int().min(0).default(64).meta({description: 'Maximum number of requests queued for the engine'}),
		agingMs: z.int().min(1).default(2000).meta({description: 'Queueing time that raises a request by one priority level, milliseconds'}),
	}).prefault({}),
	records: z.strictObject({
		maximum: z.int().min(1).default(20_000).meta({description: 'Maximum number of finished requests and tombstones kept'}),
		replayBytes: z.int().min(1024).default(256 * 1024).meta({description: 'Maximum unacknowledged answer bytes kept for one request'}),
		resumeMs: z.int().min(0).default(5000).meta({description: 'Time for which a request without a link to its entry continues, milliseconds'}),
	}).prefault({}),
	limits: ProcessLimits.pick({heldBytes: true}).prefault({}),
	stopMs: z.int().min(0).default(600_000).meta({description: 'Maximum wait for running requests at a planned stop, milliseconds'}),
});
type TargetSettings = z.infer<typeof TargetSettings>;

export {TargetSettings};
