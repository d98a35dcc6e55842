import process from 'node:process';
import {getLogLevelName, type LogLevelName} from 'roarr';
import {readMonotonicClock} from '../config/read-monotonic-clock.js';
import {LogWriter} from './log-writer.js';

const logLevels: readonly LogLevelName[] = ['trace', 'debug', 'info', 'warn', 'error', 'fatal'];
const standardOutputDescriptor = 1;
/** Lines a second that a process may write: several times what an entry decides at its share of the peak. */
const linesPerSecond = 200;

type Line = {readonly context?: {readonly logLevel?: number}};

/** Writes the log to standard output as JSON lines, from the given level on. Without it nothing is written. */
export function startLogging(minimumLevel: LogLevelName): void {
	const minimumIndex = logLevels.indexOf(minimumLevel);
	const writer = new LogWriter({descriptor: standardOutputDescriptor, linesPerSecond, clock: readMonotonicClock});
	const roarr = (globalThis as unknown as {ROARR: {write: (line: string) => void}}).ROARR;
	roarr.write = line => {
		const {context} = JSON.parse(line) as Line;
		if (logLevels.indexOf(getLogLevelName(context?.logLevel ?? 0)) >= minimumIndex) {
			writer.add(line);
		}
	};

	process.on('exit', () => {
		writer.flushSync();
	});
}
