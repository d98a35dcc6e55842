import {existsSync, readFileSync} from 'node:fs';

/** Between the parts of a line: the scenario, the cause of its failure, the issue. */
const separator = ' | ';

/**
 * Reads which scenarios are known to fail for a fault that is not mended yet: one line each, `FEATURE: SCENARIO | CAUSE |
 * ISSUE`. A line without the three parts is an error, since it would hide a failure that nobody has explained.
 */
export function readKnownRed(file: string): ReadonlySet<string> {
	const lines = existsSync(file) ? readFileSync(file, 'utf8').split('\n').filter(line => line.trim() !== '') : [];
	return new Set(lines.map((line, index) => {
		const parts = line.split(separator);
		if (parts.length !== 3 || parts.some(part => part.trim() === '')) {
			throw new Error(`${file}:${index + 1}: expected "FEATURE: SCENARIO${separator}CAUSE${separator}ISSUE"`);
		}

		return parts[0];
	}));
}
