import {z} from 'zod';
import {BalanceSettings} from '../expert-balance/balance-settings.js';
import {SocketAddress} from './socket-address.js';

/** Settings of `wardswitch-rank`, the process that runs on the VM of one rank's engine. */
const RankSettings = z.strictObject({
	id: z.string().min(1).meta({description: 'Name of this process, unique among all live processes'}),
	availabilityZone: z.string().min(1).meta({description: 'Availability zone of the VM'}),
	address: z.ipv4().meta({description: 'IP address that the process listens on'}),
	linkPort: z.int().min(1).max(65_535).meta({description: 'TCP port for links between the system\'s processes'}),
	metricsPort: z.int().min(1).max(65_535).meta({description: 'HTTP port for /metrics, /livez, /readyz and /status'}),
	service: z.string().min(1).meta({description: 'Service that the engine belongs to'}),
	engine: SocketAddress.meta({description: 'IP address and port of the engine on this VM'}),
	store: z.strictObject({
		address: z.string().min(1).meta({description: 'Address and port of the platform\'s key-value service'}),
	}),
	link: z.strictObject({
		key: z.string().regex(/^[\da-f]{64}$/v, 'expected 64 hexadecimal digits (32 bytes)').meta({description: 'Pre-shared key of all links, hexadecimal'}),
		maximumFrameBytes: z.int().min(1024).default(4 * 1024 * 1024).meta({description: 'Largest frame accepted on a link, bytes'}),
	}),
	balance: BalanceSettings.prefault({}),
	logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info').meta({description: 'Lowest level of log lines that are written'}),
});
type RankSettings = z.infer<typeof RankSettings>;

export {RankSettings};
