import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect} from 'node:net';
import {Given, Then, When} from '@cucumber/cucumber';
import {Registry} from 'prom-client';
import {findFreePorts} from '../../bench/support/find-free-ports.js';
import {startAdminServer} from '../../src/metrics/start-admin-server.js';
import {type SystemWorld} from '../support/system-world.js';

const address = '127.0.0.1';

Given('an admin server', async function (this: SystemWorld) {
	const [port] = await findFreePorts(1);
	const server = await startAdminServer({
		address,
		port,
		registry: Object.assign(new Registry(), {
			async metrics(): Promise<string> {
				throw new Error('a gauge cannot be read');
			},
		}),
		isReady: () => true,
		pages: {
			status: argument => ({argument}),
			broken() {
				throw new Error('the page cannot be made');
			},
		},
	});
	this.notes.set('admin', port);
	this.onClose(() => {
		server.close();
	});
});

When('it is asked for {string}', async function (this: SystemWorld, path: string) {
	const socket = connect(this.notes.get('admin') as number, address);
	let text = '';
	socket.on('data', chunk => {
		text += String(chunk);
	});
	socket.write(`GET ${path} HTTP/1.1\r\nhost: localhost\r\nconnection: close\r\n\r\n`);
	await once(socket, 'close', {signal: AbortSignal.timeout(2000)});
	this.notes.set('text', text);
});

Then('it answers {int} with {string}', function (this: SystemWorld, status: number, body: string) {
	const text = this.notes.get('text') as string;
	assert.match(text, new RegExp(`^HTTP/1.1 ${status} `, 'v'));
	assert.ok(text.includes(body), text);
});
