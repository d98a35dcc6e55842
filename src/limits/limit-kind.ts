import {z} from 'zod';

/** The quantity that a limit applies to. */
const LimitKind = z.enum(['concurrency', 'requestsPerSecond', 'tokensPerSecond']);
type LimitKind = z.infer<typeof LimitKind>;

export {LimitKind};
