import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {type Target} from '../../src/fleet/target.js';
import {type HttpTarget} from './http-target.js';
import {resetConnection} from './reset-connection.js';

type Manner = HttpTarget['manners'][number];

const events = 6;
/** The answers that wait for `release`. */
const releases = new Map<HttpTarget, () => void>();
/** Connections that were dropped without a word: what comes next on them is reset and not run. */
const forgotten = new WeakSet<object>();

const makeHead = ({extraHeaders: marks}: HttpTarget, id: string, type: string): Record<string, string> => ({
	'content-type': type, 'x-request': id, 'x-signed': '1', ...marks,
});
const makeRawHead = (id: string): string => `HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\nx-request: ${id}\r\nx-signed: 1\r\n`;

/** Starts a target that answers over HTTP, rightly or in the manner that is next in line. */
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
		cuts: [],
		manners: [],
		arrivals: 0,
		crashingPath: undefined,
		hasCrashed: false,
		refusal: undefined,
		extraHeaders: {},
		release() {
			releases.get(running)?.();
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
	if (forgotten.has(request.socket)) {
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

	const manner = running.manners.shift() ?? 'answer';
	if (manner === 'refuse') {
		response.writeHead(503, {'x-request': id, 'x-not-run': '1', ...running.extraHeaders}).end();
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

	response.on('close', () => {
		if (!response.writableFinished) {
			running.cuts.push(id);
		}
	});
	if (request.url!.includes('/stream/') && manner === 'slow') {
		startSlowStream(running, id, response);
	} else if (request.url!.includes('/stream/')) {
		streamEvents(running, Number(request.headers['last-event-id'] ?? 0), id, response, manner);
	} else {
		answer(running, id, response, manner);
	}
}

function answer(running: HttpTarget, id: string, response: ServerResponse, manner: Manner): void {
	const body = `answer of ${running.target.id} to ${id}`;
	const socket = response.socket!;
	switch (manner) {
		case 'answer': {
			response.writeHead(200, makeHead(running, id, 'text/plain')).end(body);
			break;
		}

		case 'forget': {
			forgotten.add(socket);
			response.writeHead(200, makeHead(running, id, 'text/plain')).end(body);
			break;
		}

		case 'slow': {
			releases.set(running, () => {
				response.writeHead(200, makeHead(running, id, 'text/plain')).end(body);
			});
			break;
		}

		case 'fail': {
			response.writeHead(500, makeHead(running, id, 'text/plain')).end('failed');
			break;
		}

		case 'unsigned': {
			response.writeHead(200, {'x-request': id}).end(body);
			break;
		}

		case 'wrong-id': {
			response.writeHead(200, makeHead(running, 'another', 'text/plain')).end(body);
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
			const whole = `${makeRawHead(id)}content-length: ${body.length}\r\n\r\n${body}`;
			socket.write(whole + whole);
			break;
		}

		case 'late-refusal': {
			socket.write('HTTP/1.1 503 Service Unavailable\r\nx-request: an-earlier-one\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n');
			break;
		}

		case 'reset': {
			resetConnection(socket);
			break;
		}

		default:
	}
}

function streamEvents(running: HttpTarget, after: number, id: string, response: ServerResponse, manner: Manner): void {
	if (manner === 'reset') {
		resetConnection(response.socket!);
		return;
	}

	if (manner === 'silent') {
		return;
	}

	response.writeHead(200, makeHead(running, id, 'text/event-stream'));
	for (let event = after + 1; event <= events; event++) {
		if (manner === 'cut' && event === 4) {
			response.write(`id: ${event}\ndata: half of an ev`, () => {
				setImmediate(() => response.destroy());
			});
			return;
		}

		response.write(`id: ${event}\ndata: ${running.target.id} ${event}\n\n`);
	}

	response.end();
}

/* Sends the first event, and the rest when it is released. */
function startSlowStream(running: HttpTarget, id: string, response: ServerResponse): void {
	response.writeHead(200, makeHead(running, id, 'text/event-stream'));
	response.write('id: 1\ndata: first\n\n');
	releases.set(running, () => {
		response.end('id: 2\ndata: last\n\n');
	});
}
