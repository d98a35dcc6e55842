import {parse} from 'csv-parse/sync';
import {err, ok, type Result} from 'neverthrow';
import {getRowKey} from './get-row-key.js';
import {type ParsedTable} from './parsed-table.js';
import {Row} from './row.js';
import {tableColumns} from './table-columns.js';
import {type TableProblem} from './table-problem.js';

type Line = {readonly record: string[]; readonly info: {readonly lines: number}};

const basedOnHeading = 'based_on';

const findHeadingProblems = (headings: readonly string[]): TableProblem[] => {
	const known = new Set([...tableColumns.map(({heading}) => heading), basedOnHeading]);
	const problems: TableProblem[] = [];
	for (const heading of headings) {
		if (!known.has(heading)) {
			problems.push({
				line: 1, column: heading, value: heading, expectation: `expected only the columns ${[...known].join(', ')}`,
			});
		}
	}

	for (const required of ['service', 'organisation', 'group']) {
		if (!headings.includes(required)) {
			problems.push({
				line: 1, column: required, value: '', expectation: 'expected this column to be present',
			});
		}
	}

	return problems;
};

const readRow = (cells: ReadonlyMap<string, string>): unknown => {
	const row: Record<string, unknown> = {};
	for (const {heading, field, kind} of tableColumns) {
		const text = cells.get(heading)?.trim() ?? '';
		if (kind === 'list') {
			row[field] = text.split(/\s+/v).filter(Boolean);
		} else if (kind === 'text') {
			row[field] = text;
		} else if (text !== '') {
			// An empty cell is left out, as in stored rows; otherwise equal rows would compare as different.
			row[field] = Number(text);
		}
	}

	return row;
};

/**
 * Parses and validates a table in CSV.
 *
 * @param text - content of the file; the first line holds the headings
 * @returns the rows, or every problem found
 */
export function parseTable(text: string): Result<ParsedTable, TableProblem[]> {
	let lines: Line[];
	try {
		lines = parse(text, {
			bom: true, info: true, skipEmptyLines: true, relaxColumnCount: true,
		}) as unknown as Line[];
	} catch (error) {
		const {lines: line, message} = error as {lines?: number; message: string};
		return err([{
			line: line ?? 1, column: '', value: '', expectation: `expected CSV: ${message}`,
		}]);
	}

	const headings = (lines.shift()?.record ?? []).map(heading => heading.trim());
	const problems = findHeadingProblems(headings);
	if (problems.length > 0) {
		return err(problems);
	}

	const rows: Row[] = [];
	const lineByKey = new Map<string, number>();
	let basedOn = 0;
	for (const {record, info} of lines) {
		const line = info.lines;
		const cells = new Map(headings.map((heading, index) => [heading, record[index] ?? '']));
		if (record.length > headings.length) {
			problems.push({
				line, column: '', value: record.slice(headings.length).join(','), expectation: `expected ${headings.length} cells`,
			});
			continue;
		}

		const version = Number(cells.get(basedOnHeading)?.trim() ?? 0);
		if (Number.isInteger(version) && version >= 0) {
			basedOn = Math.max(basedOn, version);
		} else {
			problems.push({
				line, column: basedOnHeading, value: cells.get(basedOnHeading)!, expectation: 'expected the version as exported, or an empty cell',
			});
		}

		const parsed = Row.safeParse(readRow(cells));
		if (!parsed.success) {
			for (const issue of parsed.error.issues) {
				const column = tableColumns.find(({field}) => field === issue.path[0])?.heading ?? '';
				problems.push({
					line, column, value: cells.get(column) ?? '', expectation: issue.message,
				});
			}

			continue;
		}

		const key = getRowKey(parsed.data);
		const earlier = lineByKey.get(key);
		if (earlier !== undefined) {
			problems.push({
				line, column: 'service', value: key, expectation: `expected each service, organisation and group at most once; line ${earlier} has the same`,
			});
		}

		lineByKey.set(key, line);
		rows.push(parsed.data);
	}

	return problems.length > 0 ? err(problems) : ok({rows, basedOn});
}
