import {type ServerResponse} from 'node:http';

type Form = {readonly contentType: string; readonly isChunked: boolean; readonly body: () => string; readonly chunkBytes: number};

const megabyte = 1024 * 1024;
const makeEvents = (...sizes: number[]): string => sizes.map((size, index) => `id: ${index + 1}\ndata: ${'x'.repeat(size)}\n\n`).join('');

/** Large answers that are correct, by what they consist of. */
const forms = {
	'a body with a length': {
		contentType: 'text/plain', isChunked: false, body: () => 'x'.repeat(16 * megabyte), chunkBytes: megabyte,
	},
	'a body in chunks of one byte': {
		contentType: 'text/plain', isChunked: true, body: () => 'x'.repeat(60_000), chunkBytes: 1,
	},
	'a stream with a large event': {
		contentType: 'text/event-stream', isChunked: true, body: () => makeEvents(10, megabyte - 100, 10), chunkBytes: 5000,
	},
	'a stream of many events': {
		contentType: 'text/event-stream', isChunked: true, body: () => makeEvents(...Array.from({length: 160}, () => 100_000)), chunkBytes: 100_000,
	},
	'a stream of events without ids': {
		contentType: 'text/event-stream', isChunked: true, body: () => 'data: x\r\n\r\n'.repeat(3 * megabyte / 11), chunkBytes: 4095,
	},
} satisfies Record<string, Form>;

/** Writes one of the large answers, and returns its body. */
export function writeLargeAnswer(response: ServerResponse, name: keyof typeof forms, headers: Readonly<Record<string, string>>): string {
	const {contentType, isChunked, body, chunkBytes} = forms[name];
	const text = body();
	response.writeHead(200, {...headers, 'content-type': contentType, ...(!isChunked && {'content-length': text.length})});
	for (let start = 0; start < text.length; start += chunkBytes) {
		response.write(text.slice(start, start + chunkBytes));
	}

	response.end();
	return text;
}
