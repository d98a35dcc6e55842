import {type RawHeaders} from './raw-headers.js';

/** Hop-by-hop headers (RFC 9110, 7.6.1), and the length, which the sender of each hop sets. */
const hopHeaders = new Set(['connection', 'keep-alive', 'proxy-connection', 'transfer-encoding', 'te', 'trailer', 'upgrade', 'content-length', 'expect']);

/** Returns the headers to forward: without hop-by-hop headers and those named in `others` (lower case). */
export function dropHopHeaders(headers: RawHeaders, others: ReadonlySet<string>): string[] {
	const named = new Set<string>();
	for (let position = 0; position < headers.length; position += 2) {
		if (headers[position].toLowerCase() === 'connection') {
			for (const token of headers[position + 1].split(',')) {
				named.add(token.trim().toLowerCase());
			}
		}
	}

	const kept: string[] = [];
	for (let position = 0; position < headers.length; position += 2) {
		const name = headers[position].toLowerCase();
		if (!hopHeaders.has(name) && !named.has(name) && !others.has(name)) {
			kept.push(headers[position], headers[position + 1]);
		}
	}

	return kept;
}
