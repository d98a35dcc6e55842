import {z} from 'zod';

/** How expert popularity changes over a generated trace. */
const TraceKind = z.enum(['season', 'deadline', 'burst', 'flip', 'noise']);
type TraceKind = z.infer<typeof TraceKind>;

export {TraceKind};
