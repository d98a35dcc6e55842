import {readFileSync} from 'node:fs';
import {err, ok, type Result} from 'neverthrow';
import {parse} from 'smol-toml';
import {type z} from 'zod';
import {SettingsError} from './settings-error.js';

const describeIssue = (issue: z.core.$ZodIssue): string => {
	const key = issue.path.join('.') || '(top level)';
	if (issue.code === 'unrecognized_keys') {
		return `${key}: unknown ${issue.keys.map(name => `"${name}"`).join(', ')}; expected only keys of examples/*.toml`;
	}

	return `${key}: ${issue.message}`;
};

/**
 * Reads and checks a TOML settings file.
 *
 * @param file - path of the file
 * @param schema - the schema that the file must satisfy; unknown keys are errors
 * @returns the settings with defaults filled in, or an error that lists every problem of the file
 */
export function readSettings<Schema extends z.ZodType>(file: string, schema: Schema): Result<z.infer<Schema>, SettingsError> {
	let document: unknown;
	try {
		document = parse(readFileSync(file, 'utf8'));
	} catch (error) {
		return err(new SettingsError(file, [(error as Error).message]));
	}

	const parsed = schema.safeParse(document);
	return parsed.success
		? ok(parsed.data)
		: err(new SettingsError(file, parsed.error.issues.map(issue => describeIssue(issue))));
}
