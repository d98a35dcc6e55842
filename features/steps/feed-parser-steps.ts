import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {setImmediate} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {feedParser} from '../../src/callers/feed-parser.js';
import {InputTurns} from '../../src/callers/input-turns.js';
import {type SystemWorld} from '../support/system-world.js';

/** Draws a whole number from 0 to below `most`. */
type Draw = (most: number) => number;
/** What a server has seen on one connection: the end of a request may be noticed after an error that follows it. */
type Seen = {readonly requests: string[]; readonly errors: string[]};

/** Parts that a connection sends one by one; the rest follows at once. */
const mostParts = 300;
const turns = new InputTurns();
/** Bytes that a spoilt message has in place of one of its own. */
const odd = ['\r', '\n', ' ', ';', '0', 'g', 'ff', '\0', '\r\n\r\n', '-1'];
/** Heads that begin messages with a body in chunks; the second has its line ends cut short. */
const heads = ['POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n', 'POST /b HTTP/1.1\nHost: x\nTransfer-Encoding: chunked\n\n'];

const start = async (world: SystemWorld, isFed: boolean): Promise<{server: Server; seen: Map<string, Seen>}> => {
	const seen = new Map<string, Seen>();
	const begun = new Set<Socket>();
	const getName = ({remotePort}: Socket): string => String(remotePort);
	const server = createServer((incoming, response) => {
		const {requests} = seen.get(getName(incoming.socket))!;
		const chunks: Buffer[] = [];
		begun.add(incoming.socket);
		incoming.on('error', () => undefined);
		incoming.on('data', (chunk: Buffer) => {
			chunks.push(chunk);
		});
		incoming.once('end', () => {
			const body = Buffer.concat(chunks);
			requests.push(`${incoming.url} ${incoming.rawTrailers.join(',')} ${body.length} ${createHash('sha256').update(body).digest('hex')}`);
		});
		response.end();
	});
	server.on('connection', (socket: Socket) => {
		seen.set(getName(socket), {requests: [], errors: []});
		if (isFed) {
			feedParser({
				socket,
				turns,
				onPiece() {
					begun.delete(socket);
				},
				hasBegunChunks: () => begun.has(socket),
				isOver: () => socket.destroyed,
				holdInput: () => undefined,
			});
		}
	});
	server.on('clientError', ({code}: NodeJS.ErrnoException, socket) => {
		// A connection that its caller resets has the error of the system.
		if (code?.startsWith('HPE_')) {
			seen.get(getName(socket as Socket))!.errors.push(code);
		}

		socket.destroy();
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	world.onClose(() => {
		server.close();
		server.closeAllConnections();
	});
	return {server, seen};
};

const drawChunk = (draw: Draw): string => {
	const size = draw(4) === 0 ? draw(5000) : draw(12);
	const digits = size.toString(16).padStart(draw(3), '0');
	const extension = draw(10) === 0 ? ';a=b' : '';
	return `${draw(2) === 0 ? digits : digits.toUpperCase()}${extension}\r\n${'\r\nx'.repeat(size).slice(0, size)}\r\n`;
};

const drawMessages = (draw: Draw): string => {
	let text = '';
	for (let message = draw(3); message >= 0; message--) {
		text += heads[draw(8) === 0 ? 1 : 0];
		for (let chunk = draw(40); chunk > 0; chunk--) {
			text += drawChunk(draw);
		}

		text += draw(4) === 0 ? '0\r\nT: y\r\n\r\n' : '0\r\n\r\n';
	}

	const position = draw(text.length);
	return draw(3) === 0 ? text.slice(0, position) + odd[draw(odd.length)] + text.slice(position + draw(2)) : text;
};

const drawParts = (text: string, draw: Draw): string[] => {
	const parts: string[] = [];
	const most = 1 + draw(draw(2) === 0 ? 8 : 8000);
	for (let first = 0; first < text.length;) {
		const size = parts.length < mostParts ? 1 + draw(most) : text.length;
		parts.push(text.slice(first, first + size));
		first += size;
	}

	return parts;
};

const send = async (server: Server, parts: readonly string[]): Promise<string> => {
	const socket = connect({port: (server.address() as AddressInfo).port, host: '127.0.0.1', noDelay: true});
	socket.on('error', () => undefined).resume();
	const closed = new Promise(resolve => {
		socket.once('close', resolve);
	});
	await once(socket, 'connect');
	const name = String(socket.localPort);
	for (const part of parts) {
		socket.write(part, 'latin1');
		await setImmediate();
	}

	socket.end();
	await closed;
	return name;
};

Given('a server that reads its input as Node does, and one that reads it in pieces', async function (this: SystemWorld) {
	this.notes.set('servers', [await start(this, false), await start(this, true)]);
});

When('{int} connections drawn from seed {int} send requests in chunks, some of them spoilt, in parts of any size', async function (this: SystemWorld, count: number, seed: number) {
	const generator = xoroshiro128plus(seed);
	const draw: Draw = most => uniformInt(generator, 0, most - 1);
	const results: Array<{text: string; seen: Seen[]}> = [];
	for (let connection = 0; connection < count; connection++) {
		const text = drawMessages(draw);
		const parts = drawParts(text, draw);
		const seen = await Promise.all((this.notes.get('servers') as Array<Awaited<ReturnType<typeof start>>>).map(async ({server, seen: all}) => all.get(await send(server, parts))!));
		results.push({text, seen});
	}

	this.notes.set('results', results);
});

Then('both servers have seen the same requests, bodies and errors', function (this: SystemWorld) {
	for (const {text, seen: [asNode, inPieces]} of this.notes.get('results') as Array<{text: string; seen: Seen[]}>) {
		assert.deepEqual(inPieces, asNode, JSON.stringify(text));
	}
});
