import {readFileSync} from 'node:fs';
import {err, ok, type Result} from 'neverthrow';
import {type ParsedTable} from '../table/parsed-table.js';
import {parseTable} from '../table/parse-table.js';
import {describeProblem} from './describe-problem.js';

/** Reads and parses a table file; the error holds one line per problem. */
export function readTableFile(file: string): Result<ParsedTable, string[]> {
	let text: string;
	try {
		text = readFileSync(file, 'utf8');
	} catch (error) {
		return err([`${file}: ${(error as Error).message}`]);
	}

	const parsed = parseTable(text);
	return parsed.isOk() ? ok(parsed.value) : err(parsed.error.map(problem => describeProblem(file, problem)));
}
