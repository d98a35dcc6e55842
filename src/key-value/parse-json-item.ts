import {err, ok, type Result} from 'neverthrow';
import {type z} from 'zod';
import {describeItemProblem} from './describe-item-problem.js';
import {type StoredValue} from './stored-value.js';

/** Parses an item of the store that holds JSON; an error describes the problem in one line. */
export function parseJsonItem<Schema extends z.ZodType>({key, value}: Pick<StoredValue, 'key' | 'value'>, schema: Schema): Result<z.infer<Schema>, string> {
	let document: unknown;
	try {
		document = JSON.parse(value);
	} catch {
		return err(describeItemProblem(key, new Error('expected JSON')));
	}

	const parsed = schema.safeParse(document);
	return parsed.success ? ok(parsed.data) : err(describeItemProblem(key, parsed.error));
}
