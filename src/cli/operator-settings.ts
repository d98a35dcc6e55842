import {z} from 'zod';

/** Settings file of the operator's command line; each setting has an option that overrides it. */
const OperatorSettings = z.strictObject({
	platform: z.strictObject({
		keyValue: z.url().optional().meta({description: 'Base URL of the key-value service'}),
		vmList: z.url().optional().meta({description: 'URL of the list of live and leaving VMs'}),
	}).prefault({}),
	entries: z.array(z.url()).default([]).meta({description: 'Admin URLs of some entries, for status, explain and --wait'}),
	linkKey: z.string().regex(/^[\da-f]{64}$/v, 'expected 64 hexadecimal digits (32 bytes)').optional().meta({description: 'Pre-shared key of all links, for orders to targets'}),
});
type OperatorSettings = z.infer<typeof OperatorSettings>;

export {OperatorSettings};
