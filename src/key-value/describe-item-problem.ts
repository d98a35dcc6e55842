import {z} from 'zod';

/** Longest text of a key, and of what is expected, in a problem, characters. */
const maximumLength = 250;

/* Keys are written by other programs: control characters are escaped, so that a problem is one line. */
const toPlainText = (text: string): string => JSON.stringify(text.slice(0, maximumLength)).slice(1, -1);

/** Describes why an item of the store cannot be read, in one line: its key, the place in its value, and what is expected there. */
export function describeItemProblem(key: string, error: unknown): string {
	if (error instanceof z.ZodError) {
		const [{path, message}] = error.issues;
		const place = path.length === 0 ? 'value' : path.join('.');
		return `${toPlainText(key)}: ${toPlainText(place)}: ${toPlainText(message)}`;
	}

	return `${toPlainText(key)}: ${toPlainText((error as Error).message)}`;
}
