import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {RawCaller} from '../support/raw-caller.js';
import {type ForwardSystem} from '../support/forward-system.js';
import {sendRequest} from '../support/send-request.js';
import {type SystemWorld} from '../support/system-world.js';
import {tokens} from '../support/tokens.js';

const noRequest = '\u0000\u0001 no request\r\n\r\n';
const getSystem = (world: SystemWorld): ForwardSystem => world.notes.get('forward') as ForwardSystem;
const getCaller = (world: SystemWorld): RawCaller => world.notes.get('caller') as RawCaller;

const keep = (world: SystemWorld, caller: RawCaller): RawCaller => {
	world.notes.set('caller', caller);
	world.onClose(() => {
		caller.close();
	});
	return caller;
};

const connect = (world: SystemWorld): RawCaller => keep(world, getSystem(world).connect());

const format = (request: string, {key = 'key-of-barre', body = ''}: {readonly key?: string; readonly body?: string} = {}): string =>
	`${request} HTTP/1.1\r\nhost: desk.example\r\nauthorization: Bearer ${key}\r\nx-request: ${request.replaceAll(' ', '-')}\r\ncontent-length: ${body.length}\r\n\r\n${body}`;

/** Size of a body of which half is written, in parts, bytes. */
const largeBodyBytes = 400_000;
const bodyPartBytes = 20_000;

Given('the next answer of target 1 is a stream of many events', function (this: SystemWorld) {
	getSystem(this).targets.get('target-1')!.behaviours.push('large a stream of many events');
});

Given('all routes have a timeout of {int} ms', async function (this: SystemWorld, ms: number) {
	const system = getSystem(this);
	system.configure(({routes}) => {
		for (const route of routes) {
			route.timeoutMs = ms;
		}
	});
	await system.until(() => system.entries.get('entry-1')!.getRevision() >= system.store.lastRevision);
});

const formatUpgrade = (request: string): string => format(request).replace('host: ', 'connection: Upgrade\r\nupgrade: h2c\r\nhost: ');

Given('the next answer of target 1 is a stream with a large event', function (this: SystemWorld) {
	getSystem(this).targets.get('target-1')!.behaviours.push('large a stream with a large event');
});

When('the answer has left the target', async function (this: SystemWorld) {
	await getSystem(this).until(() => getSystem(this).targets.get('target-1')!.finishedAnswers > 0);
});

When('a caller that reads nothing yet connects', function (this: SystemWorld) {
	connect(this).pause();
});

When('it writes the next request after the entry has begun to stop', async function (this: SystemWorld) {
	const system = getSystem(this);
	this.notes.set('stop', system.entries.get('entry-1')!.stop());
	await system.until(async () => !await system.isTakingConnections('entry-1'));
	getCaller(this).write(format('GET /read/2'));
});

When('it writes a large body for a request that is refused', async function (this: SystemWorld) {
	const request = format('POST /release/2', {key: 'unknown', body: 'x'.repeat(largeBodyBytes)});
	// Meanwhile the entry handles the earlier parts.
	for (let start = 0; start < request.length / 2; start += bodyPartBytes) {
		getCaller(this).write(request.slice(start, start + bodyPartBytes));
		await getSystem(this).call({path: '/read/other', isSeparate: true});
	}
});

When('it asks for a tunnel once the request runs', async function (this: SystemWorld) {
	await getSystem(this).until(() => getSystem(this).listRuns().length > 0);
	getCaller(this).write('CONNECT desk.example:80 HTTP/1.1\r\nhost: desk.example\r\n\r\n');
});

When('a caller writes {string}, and a request with a body of {int} bytes after it', async function (this: SystemWorld, request: string, bytes: number) {
	const caller = connect(this);
	caller.write(`${format(request)}${format('POST /release/2', {body: 'x'.repeat(bytes)})}`);
	await caller.flushed();
});

When('the entry is told to stop while a caller always has a request written ahead', async function (this: SystemWorld) {
	const system = getSystem(this);
	const target = system.targets.get('target-1')!;
	const caller = connect(this);
	caller.write(format('POST /release/0'));
	for (let count = 1; !caller.isClosed && !caller.text.includes('onnection: close'); count++) {
		caller.write(format(`POST /release/${count}`));
		await system.until(() => caller.isClosed || target.runs.length >= count);
		if (count === 1) {
			this.notes.set('stop', system.entries.get('entry-1')!.stop());
		}

		target.releaseAnswer();
		await system.until(() => caller.isClosed || caller.wholeCount >= count);
	}

	// Requests whose answers are not the last on the connection may have begun to run.
	await system.until(() => {
		target.releaseAnswer();
		return caller.isClosed;
	});
});

When('a caller writes {string} and bytes of no request at once', function (this: SystemWorld, request: string) {
	connect(this).write(`${format(request, {body: request.startsWith('POST') ? 'a block' : ''})}${noRequest}`);
});

When('a caller writes a request with an unknown key and a body, and {string}, at once', function (this: SystemWorld, request: string) {
	connect(this).write(`${format('POST /release/1', {key: 'unknown', body: 'a block'})}${format(request)}`);
});

When('a caller writes {string}, a request without a host and {string} at once', function (this: SystemWorld, earlier: string, later: string) {
	const withoutHost = format('GET /read/2').replace('host: desk.example\r\n', '');
	this.notes.set('written', earlier === '' ? 0 : 1);
	connect(this).write(`${earlier === '' ? '' : format(earlier)}${withoutHost}${format(later)}`);
});

When('a caller writes a request for another protocol', function (this: SystemWorld) {
	connect(this).write(formatUpgrade('GET /read/1'));
});

When('a caller writes a request for another protocol, and half of a request whose body is a request', async function (this: SystemWorld) {
	const inner = format('POST /release/inner');
	const caller = connect(this);
	caller.write(`${formatUpgrade('GET /read/1')}${format('POST /release/2', {body: inner}).slice(0, -inner.length)}`);
	await getSystem(this).until(() => caller.wholeCount > 0);
});

When('it writes the rest', async function (this: SystemWorld) {
	getCaller(this).write(format('POST /release/inner'));
	// Another request is answered after whatever may run now.
	await getSystem(this).call({path: '/read/other', isSeparate: true});
});

When('it asks once more while an engine runs the next request', async function (this: SystemWorld) {
	await this.system.waitUntil('an engine runs the request', () => [...this.system.engines.values()].some(({active}) => active.size > 0));
	const body = JSON.stringify({model: 'stone-drafts', max_tokens: 6, messages: [{role: 'user', content: 'granite'}]});
	getCaller(this).request('POST', '/v1/chat/completions', {id: 'chat-3', body});
});

When('a caller has written {} on a connection of its own', async function (this: SystemWorld, bytes: string) {
	const [{httpPort}] = this.system.entries.values();
	const caller = keep(this, new RawCaller(httpPort, tokens.granite));
	caller.write(bytes === 'nothing' ? '' : 'POST /v1/chat/completions HTTP/1.1\r\nhost: ya');
	// The entry reads what came before a request that it has answered.
	await sendRequest({port: httpPort, path: '/nothing-here'});
});

Then('it gets whole answers with status {string}', async function (this: SystemWorld, list: string) {
	const caller = getCaller(this);
	const expected = list.split(', ').map(status => [Number(status), true]);
	await getSystem(this).until(() => caller.isClosed || caller.wholeCount >= expected.length);
	assert.deepEqual(caller.answers.map(answer => [answer.status, answer.isWhole]), expected, caller.text.slice(0, 1000));
});

Then('each request that has run has a whole answer', function (this: SystemWorld) {
	const {answers, wholeCount} = getCaller(this);
	assert.equal(wholeCount, answers.length);
	// Requests that come too late for an answer before the process ends are refused, and have not run.
	const refused = answers.filter(({status}) => status === 503);
	assert.equal(wholeCount - refused.length, getSystem(this).listRuns().length);
	assert.ok(refused.every(({body}) => body.includes('"outcome":"not-run"')));
});
