import {z} from 'zod';
import {type LogLine} from './log-line.js';

const rawLine = z.object({
	context: z.object({part: z.string()}),
	message: z.string(),
	time: z.number(),
});

/* Removes the times that a collector adds: they differ from line to line, so the rest identifies the process. */
const removeTimes = (prefix: string): string => prefix.split(' ').filter(word => word !== '' && !/^[\-\d.:TZ]+$/v.test(word)).join(' ');

/** Parses one line of a log; undefined if no process of the system wrote it. */
export function parseLogLine(text: string): LogLine | undefined {
	const start = text.indexOf('{');
	if (start === -1) {
		return undefined;
	}

	try {
		const parsed = rawLine.safeParse(JSON.parse(text.slice(start)));
		return parsed.success
			? {
				source: removeTimes(text.slice(0, start)), time: parsed.data.time, part: parsed.data.context.part, message: parsed.data.message,
			}
			: undefined;
	} catch {
		return undefined;
	}
}
