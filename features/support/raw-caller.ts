import {once} from 'node:events';
import {connect, type Socket} from 'node:net';

type Answer = {readonly status: number; readonly head: string; readonly body: string; readonly isWhole: boolean};

type Request = {
	readonly id: string;
	readonly body?: string;
	readonly more?: string;
	/** Bytes of the body that are written. */
	readonly written?: number;
};

const readChunks = (text: string): {readonly body: string; readonly isWhole: boolean; readonly length: number} => {
	let body = '';
	let position = 0;
	for (;;) {
		const lineEnd = text.indexOf('\r\n', position);
		const size = lineEnd === -1 ? Number.NaN : Number.parseInt(text.slice(position, lineEnd), 16);
		const end = lineEnd + 2 + size;
		if (Number.isNaN(size) || text.length < end + 2) {
			return {body, isWhole: false, length: text.length};
		}

		if (size === 0) {
			return {body, isWhole: true, length: end + 2};
		}

		body += text.slice(lineEnd + 2, end);
		position = end + 2;
	}
};

const readBody = (head: string, rest: string): {readonly body: string; readonly isWhole: boolean; readonly length: number} => {
	if (/transfer-encoding: chunked/iv.test(head)) {
		return readChunks(rest);
	}

	const length = Number(/content-length: (?<length>\d+)/iv.exec(head)?.groups?.length ?? 0);
	return {body: rest.slice(0, length), isWhole: rest.length >= length, length};
};

/** A caller on one connection that writes bytes of its own choice, and reads the answers in order. */
export class RawCaller {
	text = '';
	/** Whether the connection is closed. */
	isClosed = false;
	/** Whether the other side has reset the connection. */
	isReset = false;
	private readonly socket: Socket;

	/** @param key - key of an organisation, sent with each request */
	constructor(port: number, private readonly key: string) {
		this.socket = connect(port, '127.0.0.1');
		this.socket.setEncoding('latin1');
		this.socket.on('data', chunk => {
			this.text += String(chunk);
		});
		this.socket.on('error', (error: NodeJS.ErrnoException) => {
			this.isReset = error.code === 'ECONNRESET';
		});
		this.socket.on('close', () => {
			this.isClosed = true;
		});
	}

	/** The answers so far; the last one may not be whole yet. */
	get answers(): Answer[] {
		const answers: Answer[] = [];
		let rest = this.text;
		while (rest.includes('\r\n\r\n')) {
			const [head] = rest.split('\r\n\r\n', 1);
			const {body, isWhole, length} = readBody(head, rest.slice(head.length + 4));
			answers.push({
				status: Number(head.split(' ')[1]), head, body, isWhole,
			});
			rest = rest.slice(head.length + 4 + length);
		}

		return answers;
	}

	/** Number of whole answers so far. */
	get wholeCount(): number {
		return this.answers.filter(({isWhole}) => isWhole).length;
	}

	/** Writes a request with the key of an organisation; `more` are further lines of its head, each with its line end. */
	request(method: string, path: string, {id, body = '', more = '', written = body.length}: Request): void {
		const head = `${method} ${path} HTTP/1.1\r\nhost: desk.example\r\nauthorization: Bearer ${this.key}\r\nx-request: ${id}\r\n${more}`;
		this.write(`${head}content-length: ${body.length}\r\n\r\n${body.slice(0, written)}`);
	}

	/** Writes bytes. */
	write(text: string): void {
		this.socket.write(text, 'latin1');
	}

	/** Resolves when all that was written has left the process. */
	async flushed(): Promise<void> {
		if (this.socket.writableNeedDrain) {
			await Promise.race([once(this.socket, 'drain'), once(this.socket, 'close')]);
		}
	}

	/** Stops reading until `resume`. */
	pause(): void {
		this.socket.pause();
	}

	resume(): void {
		this.socket.resume();
	}

	/** Closes this side of the connection, and reads on. */
	end(): void {
		this.socket.end();
	}

	/** Closes the connection. */
	close(): void {
		this.socket.destroy();
	}
}
