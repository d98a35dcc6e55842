import {type RawHeaders} from './raw-headers.js';

/** Maps headers by lower-case name; different values of one name are joined by commas (RFC 9110, 5.3). */
export function indexHeaders(headers: RawHeaders): Map<string, string> {
	const index = new Map<string, string>();
	for (let position = 0; position < headers.length; position += 2) {
		const name = headers[position].toLowerCase();
		const value = headers[position + 1];
		const known = index.get(name);
		index.set(name, known === undefined || known === value ? value : `${known}, ${value}`);
	}

	return index;
}
