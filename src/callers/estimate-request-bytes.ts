import {type IncomingMessage} from 'node:http';

/** Memory of a request and its response without headers, and of each header line beside its characters, bytes. */
const requestBytes = 8192;
const fieldBytes = 256;

/** Returns the memory that a request takes without its body, bytes. */
export function estimateRequestBytes({url = '', rawHeaders}: IncomingMessage): number {
	let bytes = requestBytes + url.length;
	for (const text of rawHeaders) {
		bytes += (2 * text.length) + (fieldBytes / 2);
	}

	return bytes;
}
