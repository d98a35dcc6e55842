import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type ServerResponse,
} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {type Target} from '../../src/fleet/target.js';
import {type HttpTarget} from './http-target.js';
import {resetConnection} from './reset-connection.js';
import {writeCutAnswer} from './write-cut-answer.js';
import {writeEndlessAnswer} from './write-endless-answer.js';
import {writeLargeAnswer} from './write-large-answer.js';

type Behaviour = HttpTarget['behaviours'][number];

const eventsPerStream = 6;
/** Size of the answers with behaviour `large`, bytes: more than the kernel buffers for a connection. */
const largeAnswerBytes = 14_000_000;
/** Continuations of the slow answers, the oldest first, run by `releaseAnswer`. */
const slowAnswers = new Map<HttpTarget, Array<() => void>>();
/** Connections whose state the target lost: the next request on them is not run, and the connection is reset. */
const resetOnNextRequest = new WeakSet<object>();

const makeHeaders = ({extraHeaders}: HttpTarget, id: string, type: string): Record<string, string> => ({
	'content-type': type, 'x-request': id, 'x-signed': '1', ...extraHeaders,
});
const makeRawHead = (id: string): string => `HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\nx-request: ${id}\r\nx-signed: 1\r\n`;

/** Starts a stand-in target on loopback that answers over HTTP, correctly or with the next of its behaviours. */
export async function startHttpTarget(service: string, id: string, availabilityZone: string): Promise<HttpTarget> {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const target: Target = {
		id, service, address: '127.0.0.1', port, availabilityZone, slots: 8, isLeaving: false,
	};
	const running: HttpTarget = {
		target,
		runs: [],
		abortedRequests: [],
		behaviours: [],
		arrivals: 0,
		finishedAnswers: 0,
		crashingPath: undefined,
		hasCrashed: false,
		refusal: undefined,
		extraHeaders: {},
		cut: undefined,
		cutBytes: 0,
		largeBody: '',
		releaseAnswer() {
			slowAnswers.get(running)?.shift()?.();
		},
		close() {
			server.close();
			server.closeAllConnections();
		},
	};

	server.on('request', (request: IncomingMessage, response: ServerResponse) => {
		void serve(running, request, response);
	});
	return running;
}

async function serve(running: HttpTarget, request: IncomingMessage, response: ServerResponse): Promise<void> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of request) {
		chunks.push(chunk as Uint8Array);
	}

	const id = String(request.headers['x-request']);
	running.arrivals++;
	if (resetOnNextRequest.has(request.socket)) {
		resetConnection(request.socket);
		return;
	}

	if (request.headers['x-target'] !== running.target.id) {
		response.writeHead(421, {'x-request': id}).end();
		return;
	}

	if (running.refusal) {
		const {status, headers} = running.refusal;
		response.writeHead(status, {'x-request': id, 'x-not-run': '1', ...headers}).end();
		return;
	}

	const behaviour = running.behaviours.shift() ?? 'answer';
	if (behaviour === 'refuse') {
		response.writeHead(503, {'x-request': id, 'x-not-run': '1', ...running.extraHeaders}).end();
		return;
	}

	if (behaviour === 'unnamed-refusal') {
		resetOnNextRequest.add(request.socket);
		response.writeHead(503, {'x-not-run': '1'}).end();
		return;
	}

	running.runs.push({
		id, method: request.method!, path: request.url!, headers: request.headers, body: new TextDecoder().decode(new Uint8Array(chunks.flatMap(chunk => [...chunk]))),
	});
	if (running.crashingPath !== undefined && request.url!.includes(running.crashingPath)) {
		running.hasCrashed = true;
		running.close();
		return;
	}

	response.on('finish', () => {
		running.finishedAnswers++;
	});
	response.on('close', () => {
		if (!response.writableFinished) {
			running.abortedRequests.push(id);
		}
	});
	if (running.cut) {
		running.cutBytes = writeCutAnswer(response.socket!, running.cut, makeRawHead(id));
		running.cut = undefined;
	} else if (behaviour.startsWith('endless ')) {
		writeEndlessAnswer(response.socket!, behaviour.slice('endless '.length) as Parameters<typeof writeEndlessAnswer>[1], makeRawHead(id));
	} else if (behaviour.startsWith('large ')) {
		running.largeBody = writeLargeAnswer(response, behaviour.slice('large '.length) as Parameters<typeof writeLargeAnswer>[1], makeHeaders(running, id, ''));
	} else if (request.url!.includes('/stream/') && behaviour === 'slow') {
		startSlowStream(running, id, response);
	} else if (request.url!.includes('/stream/')) {
		streamEvents(running, Number(request.headers['last-event-id'] ?? 0), id, response, behaviour);
	} else {
		answer(running, id, response, behaviour);
	}
}

function holdAnswer(running: HttpTarget, release: () => void): void {
	slowAnswers.set(running, [...slowAnswers.get(running) ?? [], release]);
}

function answer(running: HttpTarget, id: string, response: ServerResponse, behaviour: Behaviour): void {
	const body = `answer of ${running.target.id} to ${id}`;
	const socket = response.socket!;
	switch (behaviour) {
		case 'answer': {
			response.writeHead(200, makeHeaders(running, id, 'text/plain')).end(body);
			break;
		}

		case 'forget': {
			resetOnNextRequest.add(socket);
			response.writeHead(200, makeHeaders(running, id, 'text/plain')).end(body);
			break;
		}

		case 'slow': {
			holdAnswer(running, () => {
				response.writeHead(200, makeHeaders(running, id, 'text/plain')).end(body);
			});
			break;
		}

		case 'large': {
			response.writeHead(200, makeHeaders(running, id, 'text/plain')).end('x'.repeat(largeAnswerBytes));
			break;
		}

		case 'fail': {
			response.writeHead(500, makeHeaders(running, id, 'text/plain')).end('failed');
			break;
		}

		case 'unsigned': {
			response.writeHead(200, {'x-request': id}).end(body);
			break;
		}

		case 'wrong-id': {
			response.writeHead(200, makeHeaders(running, 'another', 'text/plain')).end(body);
			break;
		}

		case 'cut': {
			socket.end(`${makeRawHead(id)}content-length: 1000\r\n\r\n${body}`);
			break;
		}

		case 'unframed': {
			socket.end(`${makeRawHead(id)}connection: close\r\n\r\n${body}`);
			break;
		}

		case 'unframed-reset': {
			socket.write(`${makeRawHead(id)}connection: close\r\n\r\n${body}`, () => {
				setImmediate(() => {
					resetConnection(socket);
				});
			});
			break;
		}

		case 'extra': {
			const answerBytes = `${makeRawHead(id)}content-length: ${body.length}\r\n\r\n${body}`;
			socket.write(answerBytes + answerBytes);
			break;
		}

		case 'late-refusal': {
			socket.write('HTTP/1.1 503 Service Unavailable\r\nx-request: an-earlier-one\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n');
			break;
		}

		case 'late-unnamed-refusal': {
			socket.write('HTTP/1.1 503 Service Unavailable\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n');
			break;
		}

		case 'reset': {
			resetConnection(socket);
			break;
		}

		default:
	}
}

function streamEvents(running: HttpTarget, after: number, id: string, response: ServerResponse, behaviour: Behaviour): void {
	if (behaviour === 'reset') {
		resetConnection(response.socket!);
		return;
	}

	if (behaviour === 'silent') {
		return;
	}

	if (behaviour.startsWith('unframed')) {
		streamUnframed(running, after, id, {socket: response.socket!, behaviour});
		return;
	}

	response.writeHead(200, makeHeaders(running, id, 'text/event-stream'));
	for (let event = after + 1; event <= eventsPerStream; event++) {
		if (behaviour === 'cut' && event === 4) {
			response.write(`id: ${event}\ndata: half of an ev`, () => {
				setImmediate(() => response.destroy());
			});
			return;
		}

		response.write(`id: ${event}\ndata: ${running.target.id} ${event}\n\n`);
	}

	response.end();
}

/* Sends a stream with neither a length nor chunks, which ends with its connection: after the last event, within the fourth, or by a reset. */
function streamUnframed(running: HttpTarget, after: number, id: string, {socket, behaviour}: {readonly socket: Socket; readonly behaviour: Behaviour}): void {
	const makeEvent = (event: number): string => `id: ${event}\ndata: ${running.target.id} ${event}\n\n`;
	const last = behaviour === 'unframed' ? eventsPerStream : 3;
	const events = Array.from({length: last - after}, (_, index) => makeEvent(after + index + 1)).join('');
	const head = `${makeRawHead(id).replace('text/plain', 'text/event-stream')}connection: close\r\n\r\n`;
	const endings: Partial<Record<Behaviour, string>> = {'unframed-cut': 'id: 4\ndata: half of an ev', 'unframed-line': makeEvent(4).slice(0, -1)};
	socket.write(`${head}${events}${endings[behaviour] ?? ''}`, () => {
		setImmediate(() => {
			if (behaviour === 'unframed-reset') {
				resetConnection(socket);
			} else {
				socket.end();
			}
		});
	});
}

/* Sends the first event, and the last one on `releaseAnswer`. */
function startSlowStream(running: HttpTarget, id: string, response: ServerResponse): void {
	response.writeHead(200, makeHeaders(running, id, 'text/event-stream'));
	response.write('id: 1\ndata: first\n\n');
	holdAnswer(running, () => {
		response.end('id: 2\ndata: last\n\n');
	});
}
