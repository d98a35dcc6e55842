import {type IncomingMessage} from 'node:http';

/** Bytes of a request as callers usually write it, with one space after the colon of each header; not a number for a body in chunks. */
export function countRequestBytes({method = '', url = '', httpVersion, rawHeaders, headers}: IncomingMessage): number {
	if (headers['transfer-encoding'] !== undefined) {
		return Number.NaN;
	}

	const startLine = `${method} ${url} HTTP/${httpVersion}\r\n`;
	let bytes = startLine.length + '\r\n'.length + Number(headers['content-length'] ?? 0);
	for (let position = 0; position < rawHeaders.length; position += 2) {
		bytes += `${rawHeaders[position]}: ${rawHeaders[position + 1]}\r\n`.length;
	}

	return bytes;
}
