import {err, ok, type Result} from 'neverthrow';
import {MapError} from './map-error.js';
import {TraceInterval} from './trace-interval.js';

const parseLine = (line: string, number: number): Result<TraceInterval, MapError> => {
	let document: unknown;
	try {
		document = JSON.parse(line);
	} catch (error) {
		return err(new MapError(`line ${number}: expected a JSON object: ${(error as Error).message}`));
	}

	const parsed = TraceInterval.safeParse(document);
	if (!parsed.success) {
		const [issue] = parsed.error.issues;
		return err(new MapError(`line ${number}: ${issue.path.join('.') || 'object'}: ${issue.message}`));
	}

	return ok(parsed.data);
};

const findShapeProblem = (interval: TraceInterval, first: TraceInterval, number: number): MapError | undefined => {
	if (interval.loads.length !== first.loads.length) {
		return new MapError(`line ${number}: loads: expected ${first.loads.length} layers as on the first line, not ${interval.loads.length}`);
	}

	const experts = first.loads[0].length;
	const ragged = interval.loads.findIndex(layer => layer.length !== experts);
	return ragged === -1
		? undefined
		: new MapError(`line ${number}: loads.${ragged}: expected ${experts} experts as in the first layer, not ${interval.loads[ragged].length}`);
};

/** Parses a trace with one interval per line (JSON Lines); times must increase and all lines must have the same shape. */
export function parseTrace(text: string): Result<TraceInterval[], MapError> {
	const intervals: TraceInterval[] = [];
	for (const [index, line] of text.split('\n').entries()) {
		if (line.trim() === '') {
			continue;
		}

		const parsed = parseLine(line, index + 1);
		if (parsed.isErr()) {
			return err(parsed.error);
		}

		const interval = parsed.value;
		const problem = findShapeProblem(interval, intervals[0] ?? interval, index + 1);
		if (problem) {
			return err(problem);
		}

		const last = intervals.at(-1);
		if (last && interval.atMs <= last.atMs) {
			return err(new MapError(`line ${index + 1}: atMs: expected more than ${last.atMs}, the time of the interval before`));
		}

		intervals.push(interval);
	}

	return intervals.length > 0 ? ok(intervals) : err(new MapError('the trace is empty: expected at least one interval'));
}
