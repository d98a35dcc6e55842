import {z} from 'zod';

/** A target as it has registered itself. */
const Target = z.object({
	id: z.string().min(1),
	/** When this life of the target began, Unix milliseconds; it may start again under its id. Absent where targets do not tell. */
	bornAt: z.int().optional(),
	service: z.string().min(1),
	address: z.string().min(1),
	port: z.int().min(1).max(65_535),
	availabilityZone: z.string(),
	/** Requests that it runs at once. */
	slots: z.int().min(1),
	/** The group of ranks that it works in lock step with, as far as known; not part of its registration. */
	group: z.string().optional(),
	/** Whether it takes no new requests, since it is about to stop. */
	isLeaving: z.boolean(),
});
type Target = z.infer<typeof Target>;

export {Target};
