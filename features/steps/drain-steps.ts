import assert from 'node:assert/strict';
import {setTimeout as delay} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {type Reply} from '../support/reply.js';
import {sendRequest} from '../support/send-request.js';
import {type SystemWorld} from '../support/system-world.js';

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

When('the target that runs it is told to stop', async function (this: SystemWorld) {
	const id = await findRunning(this);
	this.notes.set('stop', this.system.targets.get(id)!.target.stop());
});

When('the target that runs it crashes', async function (this: SystemWorld) {
	const id = await findRunning(this);
	await this.system.targets.get(id)!.target.kill();
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
