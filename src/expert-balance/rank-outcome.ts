import {z} from 'zod';

/** Outcome of an order: taken, refused by the engine or the rank's process, or unknown. */
const RankOutcome = z.enum(['taken', 'refused', 'unknown']);
type RankOutcome = z.infer<typeof RankOutcome>;

export {RankOutcome};
