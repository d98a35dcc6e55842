import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {When, Then} from '@cucumber/cucumber';
import {TargetConnection} from '../../src/forward/target-connection.js';
import {resetConnection} from '../../stand-ins/forward/reset-connection.js';
import {type SystemWorld} from '../support/system-world.js';

const endings: Readonly<Record<string, (socket: Socket) => void>> = {
	ends: socket => socket.end(),
	resets: resetConnection,
};

/** Turns of the event loop in which a target fills the buffers of a connection that is not read. */
const fillingTurns = 20;
const request = {
	method: 'GET', path: '/', headers: [], body: new Uint8Array(),
};

/* Opens a connection to a target that begins its answer by `answer`. */
const openConnection = async (world: SystemWorld, answer: (socket: Socket) => void): Promise<TargetConnection> => {
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			answer(socket);
		});
	});
	world.onClose(() => server.close());
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return new TargetConnection({
		id: 't', service: 's', address: '127.0.0.1', port: (server.address() as AddressInfo).port, availabilityZone: 'z', slots: 1, isLeaving: false,
	});
};

When(/^a target (ends|resets) its connection while its answer without a length is paused$/, async function (this: SystemWorld, ending: string) { // eslint-disable-line require-unicode-regexp
	const sockets: Socket[] = [];
	const connection = await openConnection(this, socket => {
		sockets.push(socket);
		socket.write('HTTP/1.1 200 OK\r\n\r\npart');
	});
	let body = '';
	const outcome = new Promise<string>(resolve => {
		connection.send(request, {
			onHead() {
				// Only the end of the answer matters here.
			},
			onData(chunk) {
				body += String(chunk);
				endings[ending](sockets[0]);
				return false;
			},
			onEnd() {
				resolve(`${body} whole`);
			},
			onError() {
				resolve(`${body} cut`);
			},
		});
	});
	this.notes.set('outcome', await outcome);
	connection.destroy();
});

Then('the paused answer is {string}', function (this: SystemWorld, expected: string) {
	assert.equal(this.notes.get('outcome'), expected);
});

When('a target has sent an answer of {int} MB before more than its beginning is read', async function (this: SystemWorld, megabytes: number) {
	const bytes = megabytes * 1_000_000;
	const connection = await openConnection(this, socket => {
		socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${bytes}\r\n\r\n`);
		socket.write(Buffer.alloc(bytes));
	});
	this.onClose(() => {
		connection.destroy();
	});
	let read = 0;
	let isPaused = true;
	await new Promise<void>((resolve, reject) => {
		connection.send(request, {
			onHead() {
				// Only the body matters here.
			},
			onData(chunk) {
				read += chunk.length;
				resolve();
				return !isPaused;
			},
			onEnd() {
				// All of it has been counted.
			},
			onError: reject,
		});
	});
	for (let turn = 0; turn < fillingTurns; turn++) {
		await nextTurn();
	}

	const readPerTurn = [read];
	isPaused = false;
	connection.resume();
	for (let counted = read; counted < bytes;) {
		await nextTurn();
		readPerTurn.push(read - counted);
		counted = read;
	}

	this.notes.set('readPerTurn', readPerTurn);
});

Then('no turn of the event loop reads more than {int} KB of it', function (this: SystemWorld, most: number) {
	const readPerTurn = this.notes.get('readPerTurn') as number[];
	assert.ok(Math.max(...readPerTurn) <= most * 1024, `a turn read ${Math.max(...readPerTurn)} bytes`);
});
