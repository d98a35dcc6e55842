import {type TableProblem} from '../table/table-problem.js';

/** One line about a problem of a table file: place, value, expectation. */
export function describeProblem(file: string, {line, column, value, expectation}: TableProblem): string {
	const place = column === '' ? `${file}:${line}` : `${file}:${line}, column ${column}`;
	return value === '' ? `${place}: ${expectation}` : `${place}: "${value}": ${expectation}`;
}
