import process from 'node:process';
import {getLogLevelName, type LogLevelName} from 'roarr';
import {readMonotonicClock} from '../config/read-monotonic-clock.js';
import {LogWriter} from './log-writer.js';

const logLevels: readonly LogLevelName[] = ['trace', 'debug', 'info', 'warn', 'error', 'fatal'];
const standardOutputDescriptor = 1;
/** Maximum number of log lines per second of a process: several times what an entry logs at its share of the peak load. */
const linesPerSecond = 200;

type LogRecord = {readonly context?: {readonly logLevel?: number}};

/** Starts writing log lines of the given level and above to standard output as JSON. No log is written before this is called. */
export function startLogging(minimumLevel: LogLevelName): void {
	const minimumIndex = logLevels.indexOf(minimumLevel);
	const writer = new LogWriter({descriptor: standardOutputDescriptor, linesPerSecond, clock: readMonotonicClock});
	const roarr = (globalThis as unknown as {ROARR: {write: (line: string) => void}}).ROARR;
	roarr.write = line => {
		const {context} = JSON.parse(line) as LogRecord;
		if (logLevels.indexOf(getLogLevelName(context?.logLevel ?? 0)) >= minimumIndex) {
			writer.add(line);
		}
	};

	process.on('exit', () => {
		writer.flushSync();
	});
}
