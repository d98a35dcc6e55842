import {type Socket} from 'node:net';

type Form = {
	readonly contentType?: string;
	/** Head fields and other bytes after the status line and the identifying fields; undefined to leave these out as well. */
	readonly start: string | undefined;
	/** Sent again and again. */
	readonly filling: string;
};

const streamType = 'text/event-stream';

/** Answers that never end, by what they consist of. */
const forms = {
	'interim answers': {start: undefined, filling: 'HTTP/1.1 102 Processing\r\n\r\n'},
	'a status line': {start: undefined, filling: 'HTTP/1.1 200 x'},
	'header fields': {start: '', filling: 'x-a: y\r\n'},
	'the body of a refusal': {start: 'x-not-run: 1\r\n\r\n', filling: 'x'},
	'a chunk extension': {start: 'transfer-encoding: chunked\r\n\r\n5;', filling: 'x'},
	'a chunk size': {start: 'transfer-encoding: chunked\r\n\r\n', filling: '0'},
	'a body without a length': {start: '\r\n', filling: 'x'},
	'one event': {contentType: streamType, start: '\r\n', filling: 'x'},
	'lines of one event': {contentType: streamType, start: '\r\n', filling: 'data: x\n'},
	'events without ids': {contentType: streamType, start: '\r\n', filling: 'data: x\n\n'},
	'repeated events': {contentType: streamType, start: '\r\n', filling: 'id: 0\ndata: x\n\n'},
} satisfies Record<string, Form>;

/** Bytes sent at a time. */
const blockBytes = 65_536;

/** Writes an answer until the other side closes the connection; `head` is a status line and the identifying fields. */
export function writeEndlessAnswer(socket: Socket, name: keyof typeof forms, head: string): void {
	const {contentType, start, filling}: Form = forms[name];
	const block = filling.repeat(Math.ceil(blockBytes / filling.length));
	const fill = (): void => {
		while (!socket.destroyed && socket.write(block)) {
			// Until the connection is congested.
		}
	};

	socket.on('error', () => {
		// The other side has closed the connection.
	});
	socket.on('drain', fill);
	if (start !== undefined) {
		socket.write(`${contentType === undefined ? head : head.replace('text/plain', contentType)}${start}`);
	}

	fill();
}
