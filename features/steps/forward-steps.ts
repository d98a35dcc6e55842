import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect} from 'node:net';
import {Given, Then, When} from '@cucumber/cucumber';
import {type HttpTarget} from '../../stand-ins/forward/http-target.js';
import {ForwardSystem} from '../support/forward-system.js';
import {type SystemWorld} from '../support/system-world.js';

type Answer = Awaited<ReturnType<ForwardSystem['call']>>;

const getSystem = (world: SystemWorld): ForwardSystem => world.notes.get('forward') as ForwardSystem;
const getAnswer = async (world: SystemWorld): Promise<Answer> => world.notes.get('answer') as Promise<Answer>;
const getTarget = (world: SystemWorld, number: number): HttpTarget => getSystem(world).targets.get(`target-${number}`)!;

const startSystem = async (world: SystemWorld, entries: number, targets: number): Promise<void> => {
	const system = new ForwardSystem();
	world.notes.set('forward', system);
	world.onClose(() => {
		system.close();
	});
	for (let number = 1; number <= targets; number++) {
		await system.addTarget(`target-${number}`);
	}

	for (let number = 1; number <= entries; number++) {
		await system.addEntry(`entry-${number}`);
	}
};

const send = (world: SystemWorld, call: Parameters<ForwardSystem['call']>[0]): void => {
	const answer = getSystem(world).call({id: 'the-request', ...call});
	world.notes.set('answer', answer);
};

Given('an entry before {int} target(s)', async function (this: SystemWorld, targets: number) {
	await startSystem(this, 1, targets);
});

Given('{int} entries before {int} target(s) that know each other', async function (this: SystemWorld, entries: number, targets: number) {
	await startSystem(this, entries, targets);
});

Given('the next target answers {string}', function (this: SystemWorld, manner: HttpTarget['behaviours'][number]) {
	// The target that gets the next request answers in this manner, all later answers are normal.
	const {targets} = getSystem(this);
	const queue = [manner];
	for (const target of targets.values()) {
		target.behaviours.shift = () => queue.shift();
	}
});

Given('all targets fail', function (this: SystemWorld) {
	for (const target of getSystem(this).targets.values()) {
		target.behaviours.shift = () => 'fail';
	}
});

Given('each of the next {int} answers is followed by a second one', function (this: SystemWorld, count: number) {
	getTarget(this, 1).behaviours.push(...Array.from({length: count}, () => 'extra' as const));
});

When('a caller posts {string} to {string}', function (this: SystemWorld, body: string, path: string) {
	send(this, {path, method: 'POST', body});
});

When('a caller gets {string}', function (this: SystemWorld, path: string) {
	send(this, {path});
});

When('a caller sends a request with an unknown key', function (this: SystemWorld) {
	send(this, {path: '/read/1', headers: {authorization: 'Bearer nobody'}});
});

When('a caller sends a request with no route', function (this: SystemWorld) {
	send(this, {path: '/nowhere/1'});
});

When('a caller sends a request with a body too large', function (this: SystemWorld) {
	send(this, {path: '/release/1', method: 'POST', body: 'x'.repeat(2001)});
});

When('a caller sends a request with headers too large', function (this: SystemWorld) {
	send(this, {path: '/read/1', headers: {'x-filling': 'x'.repeat(4096)}});
});

When('a caller sends a request with two lengths', async function (this: SystemWorld) {
	const socket = connect(getSystem(this).entries.get('entry-1')!.httpPort, '127.0.0.1');
	const head = (path: string, id: string) => `POST ${path} HTTP/1.1\r\nhost: desk.example\r\nauthorization: Bearer key-of-barre\r\nx-request: ${id}\r\n`;
	socket.write(`${head('/release/1', 'a')}content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n${head('/release/2', 'b')}\r\n`);
	let text = '';
	socket.on('data', chunk => {
		text += String(chunk);
	});
	await once(socket, 'close');
	this.notes.set('answer', Promise.resolve({status: Number(text.split(' ')[1])}));
});

Given('the header timeout is {int} ms', async function (this: SystemWorld, ms: number) {
	const system = getSystem(this);
	system.configure(configuration => {
		configuration.limits.headerTimeoutMs = ms;
	});
	await system.until(() => system.entries.get('entry-1')!.getRevision() >= system.store.lastRevision);
});

When('a caller sends half of a request\'s headers and then nothing', async function (this: SystemWorld) {
	const socket = connect(getSystem(this).entries.get('entry-1')!.httpPort, '127.0.0.1');
	socket.write('GET /read/1 HTTP/1.1\r\nhost: desk.ex');
	let text = '';
	socket.on('data', chunk => {
		text += String(chunk);
	});
	await once(socket, 'close');
	this.notes.set('answer', Promise.resolve({status: Number(text.split(' ')[1])}));
});

When('a caller posts {int} requests one after another', async function (this: SystemWorld, count: number) {
	const answers: Array<[string, Answer]> = [];
	for (let number = 1; number <= count; number++) {
		const id = `post-${number}`;
		answers.push([id, await getSystem(this).call({
			path: '/release/1', method: 'POST', body: id, id,
		})]);
	}

	this.notes.set('answers', answers);
});

When('a caller disconnects while it waits for {string}', async function (this: SystemWorld, path: string) {
	const system = getSystem(this);
	const socket = connect(system.entries.get('entry-1')!.httpPort, '127.0.0.1');
	socket.write(`GET ${path} HTTP/1.1\r\nhost: desk.example\r\nauthorization: Bearer key-of-barre\r\nx-request: leaver\r\n\r\n`);
	await system.until(() => system.listRuns().includes('leaver'));
	socket.destroy();
});

When('a caller gets {int} requests one after another', async function (this: SystemWorld, count: number) {
	for (let number = 1; number <= count; number++) {
		await getSystem(this).call({path: '/read/1', id: `read-${number}`});
	}
});

When('{int} ms pass', function (this: SystemWorld, ms: number) {
	getSystem(this).skip(ms);
});

When('the entry is told to stop while a caller waits for {string}', async function (this: SystemWorld, path: string) {
	const system = getSystem(this);
	const target = getTarget(this, 1);
	target.behaviours.push('slow');
	send(this, {path, method: 'POST', body: 'a block'});
	await system.until(() => target.runs.length === 1);
	const entry = system.entries.get('entry-1')!;
	this.notes.set('stop', entry.stop());
	this.notes.set('ready', entry.isReady());
	target.releaseAnswer();
});

When('the entry is told to stop during a stream on a keep-alive connection', async function (this: SystemWorld) {
	const system = getSystem(this);
	const target = getTarget(this, 1);
	// Another request stays open, so that the entry cannot stop before the assertion.
	target.behaviours.push('silent');
	const holdRequest = async (): Promise<void> => {
		try {
			await system.call({path: '/release/1', method: 'POST', body: 'a block'});
		} catch {
			// The scenario ends before this request is answered.
		}
	};

	void holdRequest();
	await system.until(() => target.runs.length === 1);
	target.behaviours.push('slow');
	const entry = system.entries.get('entry-1')!;
	const socket = connect(entry.httpPort, '127.0.0.1');
	let text = '';
	socket.on('data', chunk => {
		text += String(chunk);
	});
	this.onClose(() => {
		socket.destroy();
	});
	socket.write('GET /stream/1 HTTP/1.1\r\nhost: desk.example\r\nauthorization: Bearer key-of-barre\r\nx-request: kept\r\n\r\n');
	await system.until(() => text.includes('first'));
	assert.match(text, /connection: keep-alive/iv);
	this.notes.set('stop', entry.stop());
	// After the notice period the entry accepts no more connections.
	await system.until(async () => !await system.isTakingConnections('entry-1'));
	const closed = once(socket, 'close', {signal: AbortSignal.timeout(1500)});
	target.releaseAnswer();
	await closed;
	this.notes.set('text', text);
});

Then('the caller gets the complete stream, and then the connection is closed', function (this: SystemWorld) {
	// A chunk of length zero ends the answer.
	assert.match(this.notes.get('text') as string, /last\n\n\r\n0\r\n\r\n$/v);
});

Then('the caller gets the complete answer to that request', async function (this: SystemWorld) {
	const answer = await getAnswer(this);
	assert.equal(answer.status, 200, answer.body);
	assert.ok(answer.isWhole);
	assert.match(answer.body, /^answer of target-\d to the-request$/v);
});

Then('one target has run {string} with {string}', function (this: SystemWorld, line: string, body: string) {
	const runs = [...getSystem(this).targets.values()].flatMap(target => target.runs);
	assert.deepEqual(runs.map(run => [`${run.method} ${run.path}`, run.body]), [[line, body]]);
	this.notes.set('run', runs[0]);
});

Then('the target received the organisation {string} and no key', function (this: SystemWorld, organisation: string) {
	const {headers} = this.notes.get('run') as HttpTarget['runs'][number];
	assert.equal(headers['x-organisation'], organisation);
	assert.equal(headers.authorization, undefined);
});

Then('the caller gets status {int}', async function (this: SystemWorld, status: number) {
	const answer = await getAnswer(this);
	assert.equal(answer.status, status);
});

Then('the caller gets status {int} with outcome {string}', async function (this: SystemWorld, status: number, outcome: string) {
	const answer = await getAnswer(this);
	assert.equal(answer.status, status, answer.body);
	assert.equal((JSON.parse(answer.body) as {outcome: string}).outcome, outcome);
	assert.equal(answer.headers['retry-after'] !== undefined, outcome === 'not-run');
});

Then('no target has run anything', function (this: SystemWorld) {
	assert.deepEqual(getSystem(this).listRuns(), []);
});

Then('targets have run {int} requests', function (this: SystemWorld, count: number) {
	assert.equal(getSystem(this).listRuns().length, count);
});

Then('each answer that the caller gets is that of its own request', function (this: SystemWorld) {
	for (const [id, answer] of this.notes.get('answers') as Array<[string, Answer]>) {
		if (answer.status === 200) {
			assert.equal(answer.body, `answer of target-1 to ${id}`);
		} else {
			assert.equal(answer.status, 502, answer.body);
		}
	}
});

Then('no request has run twice', function (this: SystemWorld) {
	const runs = getSystem(this).listRuns();
	assert.equal(new Set(runs).size, runs.length);
});

Then('the caller gets events {int} to {int}, each once and complete', async function (this: SystemWorld, first: number, last: number) {
	const answer = await getAnswer(this);
	assert.ok(answer.isWhole);
	const ids = [...answer.body.matchAll(/id: (\d+)\ndata: target-\d \d+\n\n/gv)].map(match => Number(match[1]));
	assert.deepEqual(ids, Array.from({length: last - first + 1}, (_empty, index) => first + index));
	assert.doesNotMatch(answer.body, /half/v);
	assert.doesNotMatch(answer.body, /(?:^|\n\n)(?!id:)./v);
});

Then('the answer is visibly broken after event {int}', async function (this: SystemWorld, last: number) {
	const answer = await getAnswer(this);
	assert.equal(answer.isWhole, false);
	assert.ok(answer.body.endsWith(`data: target-1 ${last}\n\n`), answer.body);
});

Then('the target sees that request aborted', async function (this: SystemWorld) {
	await getSystem(this).until(() => getTarget(this, 1).abortedRequests.includes('leaver'));
});

Then('the entry is immediately not ready', function (this: SystemWorld) {
	assert.equal(this.notes.get('ready'), false);
});

Then('the entry has stopped', async function (this: SystemWorld) {
	await (this.notes.get('stop') as Promise<void>);
});
