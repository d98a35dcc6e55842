import {type LogLine} from './log-line.js';

type Query = {
	/** Words that a line must contain, all of them, such as ids of requests or targets. */
	readonly words: readonly string[];
	/** Part that must have written the line; undefined for any. */
	readonly part: string | undefined;
	/** Time before each match from which the same process's lines on its state are included, milliseconds; 0 for none. */
	readonly contextMs: number;
};

/** Parts whose lines report the state of a process: its view of the store, the fleet, its own lifecycle. */
const stateParts = new Set(['view', 'fleet', 'entry', 'process']);
/** Part whose lines report single requests, except for those on a service or a target as a whole. */
const requestPart = 'request';
const isServiceOrTargetMessage = (message: string): boolean => /^request: (?:service|target|a connection to target) /v.test(message);
const isStateLine = ({part, message}: LogLine): boolean => stateParts.has(part) || (part === requestPart && isServiceOrTargetMessage(message));

/** Selects the lines that match a query, and the lines on the process's state shortly before them, ordered by time. */
export function selectLines(lines: readonly LogLine[], {words, part, contextMs}: Query): LogLine[] {
	const matches = lines.filter(line => (part === undefined || line.part === part) && words.every(word => line.message.includes(word)));
	const context = contextMs === 0 ? [] : lines.filter(line => isStateLine(line) && matches.some(({source, time}) => source === line.source && line.time <= time && time - line.time <= contextMs));
	return [...new Set([...matches, ...context])].toSorted((one, other) => one.time - other.time);
}
