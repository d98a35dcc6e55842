import {type TableProblem} from '../table/table-problem.js';

/** Formats a problem of a table file as one line: location, invalid value, expectation. */
export function describeProblem(file: string, {line, column, value, expectation}: TableProblem): string {
	const place = column === '' ? `${file}:${line}` : `${file}:${line}, column ${column}`;
	return value === '' ? `${place}: ${expectation}` : `${place}: "${value}": ${expectation}`;
}
