import {z} from 'zod';

/** A group's map as the platform records it. */
const GroupMap = z.strictObject({
	epoch: z.int(),
	map: z.array(z.array(z.array(z.int()))),
});
type GroupMap = z.infer<typeof GroupMap>;

export {GroupMap};
