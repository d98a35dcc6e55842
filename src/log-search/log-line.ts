import {z} from 'zod';

/** One line of a process's log, with whatever a collector has put before it. */
const LogLine = z.object({
	/** What stands before the JSON, as collectors put it: usually the name of the process or VM. */
	source: z.string(),
	/** Time of day, milliseconds since 1970. */
	time: z.number(),
	/** Part of the process that speaks. */
	part: z.string(),
	message: z.string(),
});
type LogLine = z.infer<typeof LogLine>;

export {LogLine};
