import {type Socket} from 'node:net';
import {resetConnection} from './reset-connection.js';

/** What follows the identifying fields in the heads of answers, by their framing. */
const forms = {
	'with a length': {before: '', fields: 'content-length: 5\r\n\r\n'},
	'in chunks': {before: '', fields: 'transfer-encoding: chunked\r\n\r\n'},
	'without a length': {before: '', fields: '\r\n'},
	'with a length, after an interim answer': {before: 'HTTP/1.1 102 Processing\r\n\r\n', fields: 'content-length: 5\r\n\r\n'},
};

/** A place at which an answer is cut, and how. */
export type Cut = {
	readonly form: keyof typeof forms;
	readonly ending: 'ends' | 'resets';
	/** Bytes that are missing at the end of the head. */
	readonly missing: number;
};

/** Writes the head of an answer as far as the cut, then ends or resets the connection; returns the bytes written. */
export function writeCutAnswer(socket: Socket, {form, ending, missing}: Cut, head: string): number {
	const {before, fields} = forms[form];
	const text = `${before}${head}${fields}`;
	const bytes = Math.max(0, text.length - missing);
	const close = (): void => {
		if (ending === 'ends') {
			socket.end();
		} else {
			resetConnection(socket);
		}
	};

	if (bytes === 0) {
		close();
	} else {
		socket.write(text.slice(0, bytes), () => {
			setImmediate(close);
		});
	}

	return bytes;
}
