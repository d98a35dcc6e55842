import {z} from 'zod';

/** A moment in the history of the key-value service. Numbers are given out again in a new era, so that only both together tell which of two is later. */
const Revision = z.object({
	/** Rises each time the service comes back from an older copy; 0 where it does not tell. */
	era: z.int().min(0),
	/** Number of the service's last change. */
	number: z.int().min(0),
});
type Revision = z.infer<typeof Revision>;

export {Revision};
