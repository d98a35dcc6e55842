/** Status lines for what Node's parser rejects, by the code of its error; anything else is a bad request. */
const statusLines: Readonly<Record<string, string>> = {
	ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
	HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
	HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
};

/** Returns the answer to bytes of a caller that are no request, or not a whole one in time, as it goes over the connection. */
export function formatInputRefusal({code}: NodeJS.ErrnoException): string {
	return `HTTP/1.1 ${statusLines[code ?? ''] ?? '400 Bad Request'}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`;
}
