import {z} from 'zod';
import {Pace} from './pace.js';

const route = z.object({
	name: z.string(),
	host: z.string(),
	/** Beginning of the paths that the route takes; starts and ends with a slash. */
	prefix: z.string(),
	/** Whether a request may run more than once, at most once, or answers with a stream of events. */
	kind: z.enum(['idempotent', 'once', 'stream']),
	/** Longest time that a request may wait for the end of its answer, milliseconds. */
	timeoutMs: z.number().positive(),
	/** Time within which the answer, or its first event, is on time, milliseconds. */
	targetLatencyMs: z.number().positive(),
	/** Longest pause between two events of a stream that is on time, milliseconds; absent where none is promised. */
	targetGapMs: z.number().positive().optional(),
	/** Services that share the route's requests, by weight. */
	destinations: z.array(z.object({service: z.string(), weight: z.number().min(0)})).min(1),
	/** Most targets that one request may be sent to. */
	maximumAttempts: z.int().min(1),
	/** Whether requests need no key. */
	isPublic: z.boolean(),
	/** Whether a broken stream may go on at another target after its last event. */
	isResumable: z.boolean(),
});

const service = z.object({
	name: z.string(),
	/** Connections that one target accepts from all callers together. */
	maximumConnections: z.int().min(1),
	/** How fast its targets write; absent where they do not tell. */
	pace: Pace.optional(),
	/** Copies of experts that a rank may hold per layer, and new ones that one change may bring it; absent without experts. */
	experts: z.object({
		layers: z.int().min(1),
		count: z.int().min(1),
		slots: z.int().min(1),
		maximumNew: z.int().min(1),
	}).optional(),
});

/** What operators have configured, in full: which requests go where, who may send them, and their limits. */
const RoutingConfiguration = z.object({
	version: z.int(),
	routes: z.array(route),
	services: z.array(service),
	/** Organisations with the keys that their callers show; absent when callers need none. */
	organisations: z.array(z.object({name: z.string(), keys: z.array(z.string())})).optional(),
	limits: z.object({
		maximumHeaderBytes: z.int().min(1),
		maximumBodyBytes: z.int().min(0),
		headerTimeoutMs: z.int().min(1),
		idleTimeoutMs: z.int().min(1),
	}),
});
type RoutingConfiguration = z.infer<typeof RoutingConfiguration>;

export {RoutingConfiguration};
