import {z} from 'zod';

const port = z.int().min(0).max(65_535);

/** Settings that every process of the system has: who it is, where it listens, whom it asks. */
const NodeSettings = z.strictObject({
	id: z.string().min(1).meta({description: 'Name of this process, unique among all that are live'}),
	availabilityZone: z.string().min(1).meta({description: 'Availability zone of the VM'}),
	address: z.ipv4().default('127.0.0.1').meta({description: 'IP number that the process listens on'}),
	linkPort: port.meta({description: 'TCP port for links between the system\'s processes'}),
	adminPort: port.meta({description: 'HTTP port for /metrics, /livez, /readyz, /status and /explain'}),
	platform: z.strictObject({
		keyValue: z.url().meta({description: 'Base URL of the key-value service (etcd v3 JSON gateway)'}),
		vmList: z.url().meta({description: 'URL of the list of live and leaving VMs'}),
		vmListIntervalMs: z.int().min(100).default(5000).meta({description: 'Time between two readings of the list of VMs, milliseconds'}),
		timeoutMs: z.int().min(10).default(2000).meta({description: 'Longest wait for one answer of the platform, milliseconds'}),
	}),
	link: z.strictObject({
		key: z.string().regex(/^[\da-f]{64}$/v, 'expected 64 hexadecimal digits (32 bytes)').meta({description: 'Pre-shared key of all links, hexadecimal'}),
		maximumFrameBytes: z.int().min(1024).default(4 * 1024 * 1024).meta({description: 'Largest frame accepted on a link, bytes'}),
	}),
	tracing: z.strictObject({
		otlpUrl: z.url().optional().meta({description: 'OTLP/HTTP endpoint for spans; none are exported when absent'}),
	}).prefault({}),
	logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info').meta({description: 'Least severe log line that is written'}),
});
type NodeSettings = z.infer<typeof NodeSettings>;

export {NodeSettings};
