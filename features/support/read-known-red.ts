import {existsSync, readFileSync} from 'node:fs';

/** Separates the parts of a line: scenario, cause of its failure, issue. */
const separator = ' | ';

/**
 * Reads the scenarios that are known to fail because of a fault that is not fixed yet, one per line: `FEATURE: SCENARIO | CAUSE |
 * ISSUE`. Throws for a line without all three parts, since it would hide an unexplained failure. A missing file is an empty list.
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
