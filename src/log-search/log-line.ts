import {z} from 'zod';

/** One log line of a process, with the prefix that a log collector added. */
const LogLine = z.object({
	/** Prefix that the collector put before the JSON, without times: usually the name of the process or VM. */
	source: z.string(),
	/** Unix milliseconds. */
	time: z.number(),
	/** Part of the process that wrote the line, as in `getLogger`. */
	part: z.string(),
	message: z.string(),
});
type LogLine = z.infer<typeof LogLine>;

export {LogLine};
