import {z} from 'zod';

const port = z.int().min(0).max(65_535);

/**
 * Settings common to `wardswitch-entry` and `wardswitch-target`: identity, listening addresses, platform services, links,
 * tracing and logging.
 */
const NodeSettings = z.strictObject({
	id: z.string().min(1).meta({description: 'Name of this process, unique among all live processes'}),
	availabilityZone: z.string().min(1).meta({description: 'Availability zone of the VM'}),
	address: z.ipv4().default('127.0.0.1').meta({description: 'IP address that the process listens on'}),
	linkPort: port.meta({description: 'TCP port for links between the system\'s processes'}),
	adminPort: port.meta({description: 'HTTP port for /metrics, /livez, /readyz, /status and /explain'}),
	platform: z.strictObject({
		keyValue: z.url().meta({description: 'Base URL of the key-value service (etcd v3 JSON gateway)'}),
		vmList: z.url().meta({description: 'URL of the list of live and leaving VMs'}),
		vmListIntervalMs: z.int().min(100).default(5000).meta({description: 'Interval between reads of the list of VMs, milliseconds'}),
		timeoutMs: z.int().min(10).default(2000).meta({description: 'Timeout of one call to the platform, milliseconds'}),
	}),
	link: z.strictObject({
		key: z.string().regex(/^[\da-f]{64}$/v, 'expected 64 hexadecimal digits (32 bytes)').meta({description: 'Pre-shared key of all links, hexadecimal'}),
		maximumFrameBytes: z.int().min(1024).default(4 * 1024 * 1024).meta({description: 'Largest frame accepted on a link, bytes'}),
	}),
	tracing: z.strictObject({
		otlpUrl: z.url().optional().meta({description: 'OTLP/HTTP endpoint for spans; none are exported when absent'}),
	}).prefault({}),
	logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info').meta({description: 'Lowest level of log lines that are written'}),
});
type NodeSettings = z.infer<typeof NodeSettings>;

export {NodeSettings};
