import process from 'node:process';
import {getLogLevelName, type LogLevelName} from 'roarr';

const order: readonly LogLevelName[] = ['trace', 'debug', 'info', 'warn', 'error', 'fatal'];

type Line = {readonly context?: {readonly logLevel?: number}};

/** Writes the log to standard output as JSON lines, from the given level on. Without it nothing is written. */
export function startLogging(leastLevel: LogLevelName): void {
	const least = order.indexOf(leastLevel);
	const state = (globalThis as unknown as {ROARR: {write: (line: string) => void}}).ROARR;
	state.write = line => {
		const {context} = JSON.parse(line) as Line;
		if (order.indexOf(getLogLevelName(context?.logLevel ?? 0)) >= least) {
			process.stdout.write(`${line}\n`);
		}
	};
}
