import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect} from 'node:tls';
import {Given, Then, When} from '@cucumber/cucumber';
import {encode} from 'cbor-x';
import {type Dispatcher} from 'undici';
import {linkSecurity} from '../../src/link/link-security.js';
import {sendRequest} from '../support/send-request.js';
import {type SystemWorld} from '../support/system-world.js';

const getPort = (world: SystemWorld): number => [...world.system.entries.values()][0].httpPort;

const connectPeer = async (world: SystemWorld, key: string) => {
	const [{target}] = world.system.targets.values();
	const socket = connect({
		...linkSecurity.context,
		host: '127.0.0.1',
		port: target.linkPort,
		pskCallback: () => ({identity: linkSecurity.identity, psk: Buffer.from(key, 'hex')}),
		checkServerIdentity: () => undefined,
	});
	socket.on('error', () => undefined);
	return socket;
};

const frame = (body: Uint8Array): Uint8Array => {
	const header = Buffer.alloc(4);
	header.writeUInt32BE(body.length);
	return Buffer.concat([header, body]);
};

Given('a running system', async function (this: SystemWorld) {
	await this.startSystem();
});

When('a caller asks {string} for {int} tokens about {string} as a stream', function (this: SystemWorld, model: string, count: number, about: string) {
	const body = JSON.stringify({
		model, stream: true, max_tokens: count, messages: [{role: 'user', content: about}],
	});
	this.replies.set('last', sendRequest({port: getPort(this), path: '/v1/chat/completions', body}));
});

When('a caller asks {string} for {int} tokens about {string}', function (this: SystemWorld, model: string, count: number, about: string) {
	const body = JSON.stringify({model, max_tokens: count, messages: [{role: 'user', content: about}]});
	this.replies.set('last', sendRequest({port: getPort(this), path: '/v1/chat/completions', body}));
});

When('a caller posts {string} to {string} at {string}', function (this: SystemWorld, body: string, service: string, path: string) {
	this.replies.set('last', sendRequest({port: getPort(this), path: `/services/${service}${path}`, body}));
});

When('a caller posts {int} bytes to {string}, which echoes them', function (this: SystemWorld, bytes: number, service: string) {
	this.replies.set('last', sendRequest({port: getPort(this), path: `/services/${service}/echo`, body: 'x'.repeat(bytes)}));
});

When('a caller sends {word} {string} with token {string} and body {string}', function (this: SystemWorld, method: string, path: string, token: string, body: string) {
	this.replies.set('last', sendRequest({
		port: getPort(this), path, method, body: body === '' ? undefined : body, headers: {authorization: `Bearer ${token}`},
	}));
});

Then('the reply has status {int}', async function (this: SystemWorld, status: number) {
	const reply = await this.replies.get('last')!;
	assert.equal(reply.status, status, reply.text);
});

Then('the reply has more than {int} bytes', async function (this: SystemWorld, bytes: number) {
	const {isComplete, text} = await this.replies.get('last')!;
	assert.ok(isComplete);
	assert.ok(text.length > bytes, String(text.length));
});

Then('the reply is complete and contains {string}', async function (this: SystemWorld, text: string) {
	const reply = await this.replies.get('last')!;
	assert.ok(reply.isComplete);
	assert.ok(reply.text.includes(text), reply.text);
});

Then('the reply is a complete stream of {int} tokens about {string}', async function (this: SystemWorld, count: number, about: string) {
	const reply = await this.replies.get('last')!;
	assert.ok(reply.isComplete);
	const events = reply.text.split('\n\n').filter(Boolean);
	const words = events.slice(0, -1).map(event => (JSON.parse(event.slice('data: '.length)) as {choices: Array<{delta: {content: string}}>}).choices[0].delta.content);
	assert.deepEqual(words, Array.from({length: count}, (_, index) => `${about}#${index} `));
	assert.equal(events.at(-1), 'data: [DONE]');
});

Then('the reply is a problem with status {int}, outcome {string} and a detail about {string}', async function (this: SystemWorld, status: number, outcome: string, detail: string) {
	const reply = await this.replies.get('last')!;
	const problem = JSON.parse(reply.text) as {status: number; outcome: string; detail: string};
	assert.equal(reply.headers['content-type'], 'application/problem+json');
	assert.deepEqual([reply.status, problem.status, problem.outcome], [status, status, outcome]);
	assert.ok(problem.detail.includes(detail), problem.detail);
});

When('a peer with another key connects to a target', async function (this: SystemWorld) {
	const socket = await connectPeer(this, '00'.repeat(32));
	const outcome = await new Promise(resolve => {
		socket.once('close', () => {
			resolve('closed');
		});
		socket.once('secureConnect', () => {
			resolve('open');
		});
	});
	this.notes.set('peer', outcome);
});

Then('the peer is rejected', function (this: SystemWorld) {
	assert.equal(this.notes.get('peer'), 'closed');
});

When('a peer sends a frame that is {string}', async function (this: SystemWorld, fault: string) {
	const frames: Record<string, Uint8Array> = {
		oversized: Buffer.from([0xFF, 0xFF, 0xFF, 0xFF]),
		'not CBOR': frame(Buffer.from([0xFF, 0xFF, 0x00])),
		'of an unknown type': frame(encode({type: 'nonsense'})),
		'a request before its hello': frame(encode({type: 'cancel', id: 'x', attempt: 1})),
	};
	const socket = await connectPeer(this, 'a1'.repeat(32));
	await once(socket, 'secureConnect');
	const closed = once(socket, 'close');
	socket.resume();
	socket.write(frames[fault]);
	await closed;
	this.notes.set('peer', 'closed');
});

Then('its link is closed', function (this: SystemWorld) {
	assert.equal(this.notes.get('peer'), 'closed');
});
