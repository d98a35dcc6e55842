import assert from 'node:assert/strict';
import {setTimeout as delay} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {RawCaller} from '../support/raw-caller.js';
import {type Reply} from '../support/reply.js';
import {sendRequest} from '../support/send-request.js';
import {type SystemWorld} from '../support/system-world.js';
import {tokens} from '../support/tokens.js';

/** Pause between two steps of the engines, milliseconds, in which messages are delivered; the scenarios hold with a step more or less. */
const stepPauseMs = 5;

const findRunning = async (world: SystemWorld): Promise<string> => {
	await world.system.waitUntil('an engine runs the request', () => [...world.system.engines.values()].some(({active}) => active.size > 0));
	const [id] = [...world.system.engines].find(([, {active}]) => active.size > 0)!;
	world.notes.set('target', id);
	return id;
};

const sendChat = async (world: SystemWorld, tokens: number, signal?: AbortSignal): Promise<Reply> => {
	const [entry] = world.system.entries.values();
	const body = JSON.stringify({
		model: 'stone-drafts', max_tokens: tokens, stream: signal !== undefined, messages: [{role: 'user', content: 'granite'}],
	});
	return sendRequest({
		port: entry.httpPort, path: '/v1/chat/completions', body, signal,
	});
};

Given('a running system whose engines advance step by step', async function (this: SystemWorld) {
	await this.startSystem({isPaced: true});
});

Given('a running system that waits {int} ms for a lost link, whose engines advance step by step', async function (this: SystemWorld, ms: number) {
	await this.startSystem({isPaced: true, entrySettings: {requests: {resumeMs: ms}}});
});

Given('a running system whose entries stop within {int} ms, and whose engines advance step by step', async function (this: SystemWorld, stopMs: number) {
	await this.startSystem({isPaced: true, entrySettings: {stopMs}});
});

When('the target that runs it is told to stop', async function (this: SystemWorld) {
	const id = await findRunning(this);
	this.notes.set('stop', this.system.targets.get(id)!.target.stop());
});

When('the target that runs it crashes', async function (this: SystemWorld) {
	const id = await findRunning(this);
	await this.system.targets.get(id)!.target.kill();
});

When('all targets crash', async function (this: SystemWorld) {
	await Promise.all([...this.system.targets.values()].map(async ({target}) => target.kill()));
});

Then('the reply says that it is not known whether the request ran', async function (this: SystemWorld) {
	const {text} = await this.replies.get('last')!;
	assert.ok(text.includes('"outcome":"unknown"'), text);
});

When('an engine runs the request', async function (this: SystemWorld) {
	await findRunning(this);
});

When('the engines run {int} steps', async function (this: SystemWorld, steps: number) {
	await findRunning(this);
	for (let step = 0; step < steps; step++) {
		this.system.group.advance();
		await delay(stepPauseMs);
	}
});

When('every link to targets is lost', function (this: SystemWorld) {
	for (const entry of this.system.entries.values()) {
		entry.disconnectTargets();
	}
});

When('the entry is told to stop', function (this: SystemWorld) {
	const [entry] = this.system.entries.values();
	this.notes.set('stop', entry.stop());
});

When('targets {string} and {string} stop during {int} requests', async function (this: SystemWorld, one: string, other: string, count: number) {
	const replies: Array<Promise<Reply>> = [];
	const runsAtStop = new Map<string, number>();
	for (let index = 0; index < count; index++) {
		replies.push(sendChat(this, 2));
		const stopping = index === count / 3 ? one : (index === count / 2 ? other : undefined);
		if (stopping !== undefined) {
			const admitted = this.system.targets.get(stopping)!.target.getStatus().load.running;
			runsAtStop.set(stopping, this.system.engines.get(stopping)!.runs.size + admitted);
			void this.system.targets.get(stopping)!.target.stop();
		}

		await delay(1);
	}

	this.notes.set('replies', await Promise.all(replies));
	this.notes.set('runsAtStop', runsAtStop);
});

When('a caller asks {string} for {int} tokens about {string} and disconnects', async function (this: SystemWorld, _model: string, tokens: number, _about: string) {
	const abort = new AbortController();
	const reply = sendChat(this, tokens, abort.signal);
	await findRunning(this);
	abort.abort();
	await reply;
});

Then('that target has stopped by itself', async function (this: SystemWorld) {
	await this.notes.get('stop');
});

Then('all {int} replies have status {int}', function (this: SystemWorld, count: number, status: number) {
	const replies = this.notes.get('replies') as Reply[];
	assert.equal(replies.filter(reply => reply.status === status && reply.isComplete).length, count);
});

Then('the stopped targets accepted no requests after their stop began', function (this: SystemWorld) {
	for (const [id, runs] of this.notes.get('runsAtStop') as Map<string, number>) {
		// Requests that the target had admitted may reach its engine after the stop began; no others may.
		assert.ok(this.system.engines.get(id)!.runs.size <= runs, `${id} ran ${this.system.engines.get(id)!.runs.size}, ${runs} at its stop`);
	}
});

Then('no engine runs a request', async function (this: SystemWorld) {
	await this.system.waitUntil('every engine is free', () => [...this.system.engines.values()].every(({active}) => active.size === 0));
});

Then('the reply breaks off visibly', async function (this: SystemWorld) {
	const reply = await this.replies.get('last')!;
	assert.equal(reply.isComplete, false);
	assert.ok(!reply.text.includes('[DONE]'));
});

const connectRaw = (world: SystemWorld): RawCaller => {
	const [entry] = world.system.entries.values();
	const caller = new RawCaller(entry.httpPort, tokens.granite);
	world.notes.set('caller', caller);
	world.onClose(() => {
		caller.close();
	});
	return caller;
};

const getCaller = (world: SystemWorld): RawCaller => world.notes.get('caller') as RawCaller;

const writeChats = (world: SystemWorld, model: string, count: number, maximumTokens: number): void => {
	const caller = connectRaw(world);
	const body = JSON.stringify({model, max_tokens: maximumTokens, messages: [{role: 'user', content: 'granite'}]});
	for (let number = 1; number <= count; number++) {
		caller.request('POST', '/v1/chat/completions', {id: `chat-${number}`, body});
	}
};

Given('a running system with a request timeout of {int} ms', async function (this: SystemWorld, ms: number) {
	await this.startSystem({isPaced: true, entrySettings: {requests: {defaultTimeoutMs: ms}}});
});

When('a caller asks {string} for {int} tokens on a connection of its own', function (this: SystemWorld, model: string, maximumTokens: number) {
	writeChats(this, model, 1, maximumTokens);
});

When('a caller asks {string} for {int} tokens twice at once on a connection of its own', function (this: SystemWorld, model: string, maximumTokens: number) {
	writeChats(this, model, 2, maximumTokens);
});

When('{} follow while an engine runs the request', async function (this: SystemWorld, bytes: string) {
	await findRunning(this);
	getCaller(this).write(bytes === 'a tunnel request' ? 'CONNECT yard:80 HTTP/1.1\r\nhost: yard\r\n\r\n' : '\u0000 no request\r\n\r\n');
});

When('a caller asks for a tunnel', function (this: SystemWorld) {
	connectRaw(this).write('CONNECT yard:80 HTTP/1.1\r\nhost: yard\r\n\r\n');
});

When('a caller asks {string} without sending the body', function (this: SystemWorld, model: string) {
	connectRaw(this).write(`POST /v1/chat/completions HTTP/1.1\r\nhost: yard\r\nauthorization: Bearer ${tokens.granite}\r\nx-model: ${model}\r\ncontent-length: 80\r\n\r\n`);
});

When('the engines run until the connection carries {int} replies', async function (this: SystemWorld, count: number) {
	const caller = getCaller(this);
	await this.system.waitUntil(`${count} replies`, () => {
		this.system.group.advance();
		return caller.isClosed || caller.wholeCount >= count;
	});
});

Then('the connection carries {int} whole reply/replies with status {int}', async function (this: SystemWorld, count: number, status: number) {
	const caller = getCaller(this);
	await this.system.waitUntil('the replies', () => caller.isClosed || caller.wholeCount >= count);
	// What follows a running request may be refused after its reply.
	assert.deepEqual(caller.answers.slice(0, count).map(answer => [answer.status, answer.isWhole]), Array.from({length: count}, () => [status, true]), caller.text);
});

Then('the connection carries whole replies with status {string}', async function (this: SystemWorld, statuses: string) {
	const caller = getCaller(this);
	await this.system.waitUntil('the connection closes', () => caller.isClosed);
	assert.deepEqual(caller.answers.map(({status, isWhole}) => isWhole && status), statuses.split(', ').map(Number), caller.text);
});

Then('the engines have run {int} request(s)', function (this: SystemWorld, count: number) {
	assert.equal([...this.system.engines.values()].reduce((sum, {runs}) => sum + runs.size, 0), count);
});

Then('it is closed', async function (this: SystemWorld) {
	await this.system.waitUntil('the connection closes', () => getCaller(this).isClosed);
});
