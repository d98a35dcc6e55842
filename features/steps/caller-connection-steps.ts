import assert from 'node:assert/strict';
import {once} from 'node:events';
import {
	connect as openSocket, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {Given, Then, When} from '@cucumber/cucumber';
import {CallerConnection} from '../../src/callers/caller-connection.js';
import {readMonotonicClock} from '../../src/config/read-monotonic-clock.js';
import {plainDialect} from '../../stand-ins/forward/plain-dialect.js';
import {ForwardSystem} from '../support/forward-system.js';
import {type RawCaller} from '../support/raw-caller.js';
import {type SystemWorld} from '../support/system-world.js';

const getSystem = (world: SystemWorld): ForwardSystem => world.notes.get('forward') as ForwardSystem;
const getCaller = (world: SystemWorld): RawCaller => world.notes.get('caller') as RawCaller;

const connect = (world: SystemWorld): RawCaller => {
	const caller = getSystem(world).connect();
	world.notes.set('caller', caller);
	world.onClose(() => {
		caller.close();
	});
	return caller;
};

/* Requests as scenarios list them, `METHOD PATH, ...`; a POST has a body. */
const parseRequests = (list: string) => list.split(', ').map(item => {
	const [method, path] = item.split(' ');
	return {method, path, details: {id: item.replaceAll(' ', '-'), ...(method === 'POST' && {body: 'a block'})}};
});

const writeAll = (world: SystemWorld, caller: RawCaller, list: string): void => {
	const requests = parseRequests(list);
	world.notes.set('written', requests.length);
	for (const {method, path, details} of requests) {
		caller.request(method, path, details);
	}
};

const fail = (): never => {
	throw new Error('a defect for this scenario');
};

const makeBrokenDialect = (action: string): typeof plainDialect => {
	switch (action) {
		case 'makes the headers for target-1': {
			return {...plainDialect, makeRequestHeaders: labels => labels.targetId === 'target-1' ? fail() : plainDialect.makeRequestHeaders(labels)};
		}

		case 'reads the answers of target-1': {
			return {...plainDialect, readAnswer: (status, headers) => headers.has('x-broken') ? fail() : plainDialect.readAnswer(status, headers)};
		}

		default: {
			return {...plainDialect, readRequest: fail};
		}
	}
};

Given('an entry before 2 targets that throws when it {}', async function (this: SystemWorld, action: string) {
	const system = new ForwardSystem();
	this.notes.set('forward', system);
	this.onClose(() => {
		system.close();
	});
	system.dialect = makeBrokenDialect(action);
	const target = await system.addTarget('target-1');
	target.extraHeaders = {'x-broken': '1'};
	await system.addTarget('target-2');
	await system.addEntry('entry-1');
});

Given('a registration of the address {string}', async function (this: SystemWorld, address: string) {
	const system = getSystem(this);
	system.store.put('targets/odd', {...system.targets.get('target-1')!.target, id: 'odd', address});
	await system.until(() => system.entries.get('entry-1')!.getRevision() >= system.store.lastRevision);
});

Given('the next {int} answers of target 1 wait', function (this: SystemWorld, count: number) {
	getSystem(this).targets.get('target-1')!.behaviours.push(...Array.from({length: count}, () => 'slow' as const));
});

Given('the next answer of target 1 is large', function (this: SystemWorld) {
	getSystem(this).targets.get('target-1')!.behaviours.push('large');
});

When('a caller writes {string} one after another', async function (this: SystemWorld, list: string) {
	const caller = connect(this);
	for (const [index, {method, path, details}] of parseRequests(list).entries()) {
		caller.request(method, path, details);
		await getSystem(this).until(() => caller.isClosed || caller.wholeCount > index);
	}
});

When('a caller writes {string} without waiting', function (this: SystemWorld, list: string) {
	writeAll(this, connect(this), list);
});

When('another caller writes {string}', function (this: SystemWorld, list: string) {
	writeAll(this, connect(this), list);
});

When('a caller that reads nothing yet writes {string}', function (this: SystemWorld, list: string) {
	const caller = connect(this);
	caller.pause();
	writeAll(this, caller, list);
});

Given('the idle timeout is {int} ms', async function (this: SystemWorld, ms: number) {
	const system = getSystem(this);
	system.configure(configuration => {
		configuration.limits.idleTimeoutMs = ms;
	});
	await system.until(() => system.entries.get('entry-1')!.getRevision() >= system.store.lastRevision);
});

When('it writes {string}, and the process is busy for {int} ms', function (this: SystemWorld, list: string, ms: number) {
	writeAll(this, getCaller(this), list);
	const end = readMonotonicClock() + ms;
	while (readMonotonicClock() < end) {
		// Nothing else runs in the process meanwhile.
	}
});

When('a caller writes a request with two hosts', function (this: SystemWorld) {
	connect(this).request('GET', '/read/two-hosts', {id: 'two-hosts', more: 'host: desk.example\r\n'});
});

When('a caller writes {string} with {}', function (this: SystemWorld, request: string, part: string) {
	const body = part === 'no body' ? '' : 'half';
	connect(this).write(`${request} HTTP/1.1\r\nhost: desk.example\r\nauthorization: Bearer key-of-barre\r\nx-request: slow-body\r\ncontent-length: 8\r\n\r\n${body}`);
});

When('a caller with an unknown key writes a request with a body of {int} bytes and reads only then', async function (this: SystemWorld, bytes: number) {
	const caller = connect(this);
	caller.pause();
	caller.write(`POST /release/1 HTTP/1.1\r\nhost: desk.example\r\nx-request: refused\r\ncontent-length: ${bytes}\r\n\r\n${'x'.repeat(bytes)}`);
	await caller.flushed();
	caller.resume();
});

When('the entry is told to stop once the first request runs', async function (this: SystemWorld) {
	const system = getSystem(this);
	await system.until(() => system.listRuns().length > 0);
	this.notes.set('stop', system.entries.get('entry-1')!.stop());
});

When('the entry is told to stop once the answer has reached it', async function (this: SystemWorld) {
	const system = getSystem(this);
	await system.until(() => system.targets.get('target-1')!.finishedAnswers > 0);
	this.notes.set('stop', system.entries.get('entry-1')!.stop());
});

When('the entry accepts no more connections', async function (this: SystemWorld) {
	const system = getSystem(this);
	await system.until(async () => !await system.isTakingConnections('entry-1'));
});

When('the caller reads on', function (this: SystemWorld) {
	getCaller(this).resume();
});

When('the waiting answers go on, one after another', async function (this: SystemWorld) {
	const system = getSystem(this);
	const target = system.targets.get('target-1')!;
	const caller = getCaller(this);
	for (let count = 1; count <= (this.notes.get('written') as number); count++) {
		await system.until(() => caller.isClosed || target.runs.length >= count);
		target.releaseAnswer();
		await system.until(() => caller.isClosed || caller.wholeCount >= count);
	}
});

When('it writes {} while the request runs', async function (this: SystemWorld, bytes: string) {
	const system = getSystem(this);
	await system.until(() => system.listRuns().length > 0);
	const halfHead = 'POST /release/2 HTTP/1.1\r\nhost: desk.ex';
	getCaller(this).write(bytes === 'half of a head' ? halfHead : '\u0000\u0001 no request\r\n\r\n');
	const witness = system.connect();
	witness.write(halfHead);
	this.notes.set('witness', witness);
});

When('the header timeout has passed', async function (this: SystemWorld) {
	// It has passed for another connection as well, whose head began later.
	const witness = this.notes.get('witness') as RawCaller;
	await getSystem(this).until(() => witness.isClosed);
});

When(/^the caller (disconnects|half-closes its connection) once the first request runs$/, async function (this: SystemWorld, action: string) { // eslint-disable-line require-unicode-regexp
	const system = getSystem(this);
	await system.until(() => system.listRuns().length > 0);
	const caller = getCaller(this);
	if (action === 'disconnects') {
		caller.close();
	} else {
		caller.end();
	}

	await system.until(() => system.targets.get('target-1')!.abortedRequests.length > 0);
});

Then('it gets {int} whole answer(s) with status {int}', async function (this: SystemWorld, count: number, status: number) {
	const caller = getCaller(this);
	await getSystem(this).until(() => caller.isClosed || caller.wholeCount >= count);
	assert.deepEqual(caller.answers.map(answer => [answer.status, answer.isWhole]), Array.from({length: count}, () => [status, true]), caller.text.slice(0, 1000));
});

Then('it gets {int} whole answer(s) with status {int}, and the connection is {word}', async function (this: SystemWorld, count: number, status: number, state: string) {
	const system = getSystem(this);
	const caller = getCaller(this);
	await system.until(() => caller.isClosed || (caller.wholeCount >= count && state === 'open'));
	assert.deepEqual(caller.answers.map(answer => [answer.status, answer.isWhole]), Array.from({length: count}, () => [status, true]), caller.text);
	assert.equal(caller.isClosed, state === 'closed');
});

Then('targets have run {string}', function (this: SystemWorld, list: string) {
	const runs = [...getSystem(this).targets.values()].flatMap(target => target.runs);
	assert.equal(runs.map(({method, path}) => `${method} ${path}`).join(', '), list);
});

Given('a connection of a caller that has begun to close', async function (this: SystemWorld) {
	const server = createServer({allowHalfOpen: true}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const caller = openSocket((server.address() as AddressInfo).port, '127.0.0.1');
	const [socket] = await once(server, 'connection') as [Socket];
	this.onClose(() => {
		caller.destroy();
		server.close();
	});
	this.notes.set('connection', new CallerConnection(socket));
	socket.destroySoon();
});

When('a request arrives on it', function (this: SystemWorld) {
	const serve = (): void => {
		this.notes.set('isServed', true);
	};

	this.notes.set('isAdded', (this.notes.get('connection') as CallerConnection).add({serve, drop: serve}));
});

Then('the request is not served', function (this: SystemWorld) {
	assert.equal(this.notes.get('isAdded'), false);
	assert.equal(this.notes.get('isServed'), undefined);
});
