import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {When, Then} from '@cucumber/cucumber';
import {TargetConnection} from '../../src/forward/target-connection.js';
import {resetConnection} from '../../stand-ins/forward/reset-connection.js';
import {type SystemWorld} from '../support/system-world.js';

const endings: Readonly<Record<string, (socket: Socket) => void>> = {
	ends: socket => socket.end(),
	resets: resetConnection,
};

When(/^a target (ends|resets) its connection while its answer without a length is paused$/, async function (this: SystemWorld, ending: string) { // eslint-disable-line require-unicode-regexp
	const sockets: Socket[] = [];
	const server = createServer(socket => {
		sockets.push(socket);
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.write('HTTP/1.1 200 OK\r\n\r\npart');
		});
	});
	this.onClose(() => server.close());
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const connection = new TargetConnection({
		id: 't', service: 's', address: '127.0.0.1', port: (server.address() as AddressInfo).port, availabilityZone: 'z', slots: 1, isLeaving: false,
	});
	let body = '';
	const outcome = new Promise<string>(resolve => {
		connection.send({
			method: 'GET', path: '/', headers: [], body: new Uint8Array(),
		}, {
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
