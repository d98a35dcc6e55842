import {z} from 'zod';
import {Pace} from './pace.js';

const route = z.object({
	name: z.string(),
	host: z.string(),
	/** Path prefix that the route matches; starts and ends with a slash. */
	prefix: z.string(),
	/** `idempotent`: a request may run more than once; `once`: at most once; `stream`: the response is a stream of events. */
	kind: z.enum(['idempotent', 'once', 'stream']),
	/** Timeout of a request until the end of its response, milliseconds. */
	timeoutMs: z.number().positive(),
	/** Target latency of the response or its first event, milliseconds. */
	targetLatencyMs: z.number().positive(),
	/** Target for the longest gap between two events of a stream, milliseconds; absent if there is none. */
	targetGapMs: z.number().positive().optional(),
	/** Services that share the route's requests, by weight. */
	destinations: z.array(z.object({service: z.string(), weight: z.number().min(0)})).min(1),
	/** Maximum number of targets that one request may be sent to. */
	maximumAttempts: z.int().min(1),
	/** Whether requests need no API key. */
	isPublic: z.boolean(),
	/** Whether a broken stream may be resumed at another target after its last event. */
	isResumable: z.boolean(),
});

const service = z.object({
	name: z.string(),
	/** Maximum number of connections that one target accepts in total. */
	maximumConnections: z.int().min(1),
	/** Step times of its targets; absent if they are not published. */
	pace: Pace.optional(),
	/** Numbers of layers and experts, expert replicas per rank and layer (`slots`), and replicas that one change may add to a rank (`maximumNew`). Absent if the service has no experts. */
	experts: z.object({
		layers: z.int().min(1),
		count: z.int().min(1),
		slots: z.int().min(1),
		maximumNew: z.int().min(1),
	}).optional(),
});

/** The operators' complete configuration: routes, services, organisations and limits. */
const RoutingConfiguration = z.object({
	version: z.int(),
	routes: z.array(route),
	services: z.array(service),
	/** Organisations with the API keys of their callers; absent if callers need none. */
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
