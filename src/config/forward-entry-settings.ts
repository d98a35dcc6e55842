import {z} from 'zod';
import {ProcessLimits} from './process-limits.js';
import {SocketAddress} from './socket-address.js';

const port = z.int().min(1).max(65_535);

/** Settings of a `wardswitch-entry` that forwards requests directly to registered targets over HTTP. */
const ForwardEntrySettings = z.strictObject({
	id: z.string().min(1).meta({description: 'Name of this process, unique among all live processes'}),
	availabilityZone: z.string().min(1).meta({description: 'Availability zone of the VM'}),
	callers: SocketAddress.meta({description: 'IP address and port on which callers are served over HTTP'}),
	linkPort: port.meta({description: 'TCP port for links between the system\'s processes'}),
	ready: z.strictObject({
		address: SocketAddress.meta({description: 'IP address and port on which the balancer in front probes readiness'}),
		path: z.string().startsWith('/').meta({description: 'Path of the readiness probe'}),
	}),
	metricsPort: port.meta({description: 'HTTP port for /metrics, /livez, /readyz and /status'}),
	seeds: z.array(z.string()).default([]).meta({description: 'Link addresses of some entries, used to find the other entries when the store cannot be reached'}),
	store: z.strictObject({
		address: z.string().min(1).meta({description: 'Address and port of the platform\'s key-value service'}),
	}),
	link: z.strictObject({
		key: z.string().regex(/^[\da-f]{64}$/v, 'expected 64 hexadecimal digits (32 bytes)').meta({description: 'Pre-shared key of all links, hexadecimal'}),
		maximumFrameBytes: z.int().min(1024).default(4 * 1024 * 1024).meta({description: 'Largest frame accepted on a link, bytes'}),
	}),
	repeats: z.strictObject({
		ratio: z.number().min(0).default(0.1).meta({description: 'Repeated sends that each request of a service adds to the budget, over all entries'}),
		slack: z.number().min(0).default(10).meta({description: 'Repeated sends that each window allows in addition'}),
		windowMs: z.number().min(100).default(10_000).meta({description: 'Length of the sliding window, milliseconds'}),
	}).prefault({}),
	requests: z.strictObject({
		defaultDeadlineMs: z.int().min(1).default(60_000).meta({description: 'Deadline of a request that sets none, milliseconds; the route may set a shorter one'}),
	}).prefault({}),
	limits: ProcessLimits.prefault({}),
	stop: z.strictObject({
		graceMs: z.number().min(1000).default(8000).meta({description: 'Time between the stop signal and the forced end of the process, milliseconds'}),
		noticeMs: z.int().min(0).default(2500).meta({description: 'Time during which connections are still accepted after readiness is withdrawn, so that the balancer notices, milliseconds'}),
	}).prefault({}),
	logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info').meta({description: 'Lowest level of log lines that are written'}),
});
type ForwardEntrySettings = z.infer<typeof ForwardEntrySettings>;

export {ForwardEntrySettings};
