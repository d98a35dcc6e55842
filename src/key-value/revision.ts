import {z} from 'zod';

/** A position in the history of the key-value service. A new era assigns numbers again, so two revisions are compared by era first. */
const Revision = z.object({
	/** Increases each time the service is restored from an older backup; 0 if the service does not report it. */
	era: z.int().min(0),
	/** Number of the service's last change. */
	number: z.int().min(0),
});
type Revision = z.infer<typeof Revision>;

export {Revision};
