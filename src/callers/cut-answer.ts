import {type ServerResponse} from 'node:http';

/**
 * Closes the connection within an answer, so that its caller sees that more was to come. Where the end of the connection is the end of the
 * answer, as for callers of HTTP/1.0, only a reset shows this.
 */
export function cutAnswer(response: ServerResponse): void {
	if (response.headersSent && !response.chunkedEncoding) {
		response.socket?.resetAndDestroy();
	} else {
		response.destroy();
	}
}
