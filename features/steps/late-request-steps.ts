import assert from 'node:assert/strict';
import {setImmediate as yieldTurn} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {type Call} from '../../src/calls/call.js';
import {type CallEvent} from '../../src/calls/call-event.js';
import {type Route} from '../../src/fleet/route.js';
import {type AttemptHarness} from '../support/attempt-harness.js';
import {ForwardSystem} from '../support/forward-system.js';
import {LinkPair} from '../support/link-pair.js';
import {type RawCaller} from '../support/raw-caller.js';
import {type SystemWorld} from '../support/system-world.js';

const longMs = 60_000;
/** Requests of a kind from which the time of the next is estimated. */
const enoughRuns = 8;
const body = 'a block of granite';
/** A refused request can be served by another entry at once, milliseconds. */
const soonMs = 100;

const getHarness = (world: SystemWorld): AttemptHarness => world.notes.get('attempts') as AttemptHarness;
const getSystem = (world: SystemWorld): ForwardSystem => world.notes.get('forward') as ForwardSystem;
const getCaller = (world: SystemWorld): RawCaller => world.notes.get('caller') as RawCaller;

const send = async (world: SystemWorld, id: string, kind: string, deadlineMs: number): Promise<void> => getHarness(world).request({
	id, kind: kind === 'single stream' ? 'stream' : kind as Route['kind'], isResumable: kind === 'stream', maximumAttempts: 2, deadlineMs,
});

Given('requests of kind {} that lately took {}', async function (this: SystemWorld, kind: string, known: string) {
	const harness = getHarness(this);
	const before = harness.attempts.length;
	const ms = known === 'nothing' ? 0 : Number.parseInt(known, 10);
	for (let index = 0; index < (ms > 0 ? enoughRuns : 0); index++) {
		await send(this, `earlier-${index}`, kind, longMs);
	}

	await harness.run(ms, ['other', ...harness.requests.keys()]);
	for (const attempt of harness.attempts.slice(before)) {
		attempt.end({kind: 'streamed'});
	}

	await harness.settle();
});

Given('the entry stops within {int} ms, of which callers may not know it for {int}', function (this: SystemWorld, graceMs: number, noticeMs: number) {
	const {grace, now} = getHarness(this);
	grace.begin({noticedAt: now + noticeMs, endsAt: now + graceMs});
});

Given('a request {string} of kind {} with a deadline of {int} ms is sent', async function (this: SystemWorld, id: string, kind: string, deadlineMs: number) {
	await send(this, id, kind, deadlineMs);
});

When('{int} ms later a request {string} of kind {} with a deadline of {int} ms is sent', async function (this: SystemWorld, ms: number, id: string, kind: string, deadlineMs: number) {
	await getHarness(this).run(ms);
	await send(this, id, kind, deadlineMs);
});

When('its target loses {string} {int} ms later', async function (this: SystemWorld, id: string, ms: number) {
	const harness = getHarness(this);
	// Its target makes progress meanwhile, so that it is not moved.
	await harness.run(ms, [id]);
	harness.listAttempts(id).at(-1)!.end({kind: 'lost', reason: 'the connection was cut'});
	await harness.settle();
	this.notes.set('sent before', 1);
});

When('its target is silent from {int} ms after that on, and {int} ms pass', async function (this: SystemWorld, from: number, ms: number) {
	const harness = getHarness(this);
	await harness.run(from, ['other', 'silent']);
	await harness.run(ms, ['other']);
	this.notes.set('sent before', 1);
});

When('its target refuses {string} {int} ms later', async function (this: SystemWorld, id: string, ms: number) {
	const harness = getHarness(this);
	await harness.run(ms, [id]);
	harness.listAttempts(id).at(-1)!.end({
		kind: 'not-run', reason: 'target refused with 503', wasSent: true, cause: 'busy',
	});
	await harness.settle();
	this.notes.set('sent before', 1);
});

const expectations: Readonly<Record<string, {readonly attempts: number; readonly status: number | undefined; readonly outcome: string | undefined}>> = {
	sent: {attempts: 1, status: undefined, outcome: undefined},
	'not moved': {attempts: 0, status: undefined, outcome: undefined},
	'refused as not run': {attempts: 0, status: 503, outcome: 'not-run'},
	'answered as not known': {attempts: 0, status: 502, outcome: 'unknown'},
};

Then('request {string} is {}', function (this: SystemWorld, id: string, expected: string) {
	const harness = getHarness(this);
	const {result} = harness.requests.get(id)!;
	const problem = result?.isErr() ? result.error.options : undefined;
	assert.deepEqual({
		attempts: harness.listAttempts(id).length - (this.notes.get('sent before') as number | undefined ?? 0), status: problem?.status, outcome: problem?.outcome,
	}, expectations[expected]);
	assert.ok(problem?.outcome !== 'not-run' || (problem.retryAfterMs! > 0 && problem.retryAfterMs! < soonMs));
});

const addEntry = async (world: SystemWorld, graceMs: number, noticeMs: number): Promise<void> => {
	const system = new ForwardSystem();
	world.notes.set('forward', system);
	world.onClose(() => {
		system.close();
	});
	system.configure(({routes}) => {
		routes.push({
			...routes[1], name: 'long', prefix: '/long/', timeoutMs: 20_000,
		});
		routes[2].timeoutMs = 8000;
	});
	await system.addTarget('target-1');
	await system.addEntry('entry-1', true, {stop: {graceMs, noticeMs}});
};

Given('an entry before 1 target, with a grace period of {int} ms', async function (this: SystemWorld, graceMs: number) {
	await addEntry(this, graceMs, 2500);
});

Given('an entry before 1 target, with a grace period of {int} ms, of which callers may not know it for {int}', async function (this: SystemWorld, graceMs: number, noticeMs: number) {
	await addEntry(this, graceMs, noticeMs);
});

const connect = (world: SystemWorld): RawCaller => {
	const caller = getSystem(world).connect();
	world.notes.set('caller', caller);
	world.onClose(() => {
		caller.close();
	});
	return caller;
};

When('a caller sends the head of {string} and half of its body', async function (this: SystemWorld, request: string) {
	const [method, path] = request.split(' ');
	connect(this).request(method, path, {id: 'half', body, written: body.length / 2});
	// Another request is answered after the head has been read.
	await getSystem(this).call({path: '/read/1', isSeparate: true});
});

When('the entry is told to stop, and {int} ms pass', function (this: SystemWorld, ms: number) {
	const system = getSystem(this);
	this.notes.set('stop', system.entries.get('entry-1')!.stop());
	system.skip(ms);
});

When('a caller writes {string} and {string} at once, and the first runs', async function (this: SystemWorld, first: string, second: string) {
	const caller = connect(this);
	for (const [index, request] of [first, second].entries()) {
		const [method, path] = request.split(' ');
		caller.request(method, path, {id: `ahead-${index}`, body: 'a block'});
	}

	await getSystem(this).until(() => getSystem(this).listRuns().length === 1);
});

When('the first is answered', async function (this: SystemWorld) {
	const system = getSystem(this);
	await system.until(() => {
		system.targets.get('target-1')!.releaseAnswer();
		return getCaller(this).isClosed;
	});
});

Then('the target has run {int} request(s)', function (this: SystemWorld, count: number) {
	assert.equal(getSystem(this).listRuns().length, count);
});

type WaitingCall = {readonly call: Call; readonly events: CallEvent[]};

const getPair = (world: SystemWorld): LinkPair => world.notes.get('pair') as LinkPair;
const settle = async (): Promise<void> => {
	for (let turn = 0; turn < 5; turn++) {
		await yieldTurn();
	}
};

const sendTwo = async (world: SystemWorld): Promise<void> => {
	const pair = getPair(world);
	const calls = [1, 2].map((): WaitingCall => {
		const call = pair.entry.request(pair.makeRequest());
		const events: CallEvent[] = [];
		void pair.readEvents(call).then(read => {
			events.push(...read);
		});
		return {call, events};
	});
	world.notes.set('calls', calls);
	await settle();
};

Given('an entry linked to a target that runs {int} request(s) at a time', async function (this: SystemWorld, concurrency: number) {
	const pair = new LinkPair(100, concurrency);
	this.notes.set('pair', pair);
	this.onClose(() => {
		pair.close();
	});
	while (!pair.entry.isReady) {
		await yieldTurn();
	}
});

Given('requests that lately took {} there', async function (this: SystemWorld, known: string) {
	const pair = getPair(this);
	for (let runs = known === 'nothing' ? 0 : enoughRuns; runs > 0; runs--) {
		const call = pair.entry.request(pair.makeRequest());
		pair.now += Number.parseInt(known, 10);
		pair.entry.cancel(call);
		await settle();
	}
});

When('it gets two requests', async function (this: SystemWorld) {
	const {controller, now} = getPair(this);
	await sendTwo(this);
	controller.tick(now);
	await settle();
});

When('it gets two requests, stops within {int} ms, and {int} ms pass', async function (this: SystemWorld, stopMs: number, ms: number) {
	const pair = getPair(this);
	await sendTwo(this);
	pair.isLeaving = true;
	pair.grace.begin({noticedAt: Number.POSITIVE_INFINITY, endsAt: pair.now + stopMs});
	pair.now += ms;
	pair.controller.tick(pair.now);
	await settle();
});

When('the stop ends', async function (this: SystemWorld) {
	const pair = getPair(this);
	pair.grace.end();
	pair.controller.tick(pair.now);
	await settle();
});

When('its stop within {int} ms ends, and is revoked', function (this: SystemWorld, stopMs: number) {
	const {grace, now} = getPair(this);
	grace.begin({noticedAt: Number.POSITIVE_INFINITY, endsAt: now + stopMs});
	grace.end();
	grace.revoke();
});

const describeCall = ({events}: WaitingCall, isRunning: boolean): string => {
	const last = events.at(-1);
	if (!last) {
		return isRunning ? 'runs' : 'waits';
	}

	return last.type === 'refused' ? `is refused for "${last.reason}"` : `is told as ${last.type === 'broken' ? 'lost' : last.type}`;
};

Then(/^the (first|second) one (runs|waits|is .*)$/, function (this: SystemWorld, which: string, expected: string) { // eslint-disable-line require-unicode-regexp
	const calls = this.notes.get('calls') as WaitingCall[];
	const index = which === 'first' ? 0 : 1;
	const isRunning = getPair(this).running.some(execution => execution.state === 'running' && execution.request.id === calls[index].call.id);
	assert.equal(describeCall(calls[index], isRunning), expected);
});
