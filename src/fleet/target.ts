import {z} from 'zod';

/** A target, as registered in the store. */
const Target = z.object({
	/** Sent in a header of each request, so that only the intended target runs it. */
	id: z.string().regex(/^[!-~]+$/v, 'expected an id of visible ASCII characters'),
	/** Start time of this incarnation, Unix milliseconds; a target may restart under its id. Absent if targets do not publish it. */
	bornAt: z.int().optional(),
	service: z.string().min(1),
	/** IPv4 address; connections are opened to it as it is. */
	address: z.ipv4('expected an IPv4 address, as 10.0.0.1'),
	port: z.int().min(1).max(65_535),
	availabilityZone: z.string(),
	/** Number of requests that it runs concurrently. */
	slots: z.int().min(1),
	/** Its group of ranks, which run in lock step; undefined if not known. Not part of the registration. */
	group: z.string().optional(),
	/** Whether it is draining before it stops and accepts no new requests. */
	isLeaving: z.boolean(),
});
type Target = z.infer<typeof Target>;

export {Target};
