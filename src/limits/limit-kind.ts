import {z} from 'zod';

/** What a limit counts. */
const LimitKind = z.enum(['concurrency', 'requestsPerSecond', 'tokensPerSecond']);
type LimitKind = z.infer<typeof LimitKind>;

export {LimitKind};
