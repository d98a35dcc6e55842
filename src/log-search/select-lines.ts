import {type LogLine} from './log-line.js';

type Query = {
	/** Words that a line must all contain: ids of requests or targets. */
	readonly words: readonly string[];
	/** Part that must speak; any when undefined. */
	readonly part: string | undefined;
	/** Also what the same process came to believe within this time before a line found, milliseconds. */
	readonly contextMs: number;
};

/** Parts that say what a process believes: its view of the store, the fleet, itself. */
const stateParts = new Set(['view', 'fleet', 'entry', 'process']);
/** Part whose lines are about requests, but for those on services and targets as a whole. */
const requestPart = 'request';
const isServiceOrTargetMessage = (message: string): boolean => /^request: (?:service|target|a connection to target) /v.test(message);
const isStateLine = ({part, message}: LogLine): boolean => stateParts.has(part) || (part === requestPart && isServiceOrTargetMessage(message));

/** Selects the lines that a query asks for, and what led up to them, in order of time. */
export function selectLines(lines: readonly LogLine[], {words, part, contextMs}: Query): LogLine[] {
	const matches = lines.filter(line => (part === undefined || line.part === part) && words.every(word => line.message.includes(word)));
	const context = contextMs === 0 ? [] : lines.filter(line => isStateLine(line) && matches.some(({source, time}) => source === line.source && line.time <= time && time - line.time <= contextMs));
	return [...new Set([...matches, ...context])].toSorted((one, other) => one.time - other.time);
}
