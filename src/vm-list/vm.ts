import {z} from 'zod';

const port = z.int().min(1).max(65_535);

/** A VM in the platform's list, which lags behind the VMs that are actually live. */
const Vm = z.object({
	id: z.string(),
	role: z.enum(['entry', 'target']),
	availabilityZone: z.string(),
	region: z.string().default('default'),
	address: z.union([z.ipv4(), z.ipv6()]),
	linkPort: port,
	adminPort: port.optional(),
	state: z.enum(['live', 'leaving']),
	service: z.string().optional(),
	kind: z.enum(['model', 'plain']).optional(),
	group: z.string().optional(),
	rank: z.int().optional(),
});
type Vm = z.infer<typeof Vm>;

export {Vm};
