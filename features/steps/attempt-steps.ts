import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {type Route} from '../../src/fleet/route.js';
import {AttemptHarness} from '../support/attempt-harness.js';
import {type SystemWorld} from '../support/system-world.js';

const longMs = 60_000;
const others = ['other'];

const getHarness = (world: SystemWorld): AttemptHarness => world.notes.get('attempts') as AttemptHarness;

const readKind = (name: string): Pick<Route, 'kind' | 'isResumable'> => name === 'single stream'
	? {kind: 'stream', isResumable: false}
	: {kind: name as Route['kind'], isResumable: name === 'stream'};

const send = async (harness: AttemptHarness, id: string, kind: string, maximumAttempts: number): Promise<void> => harness.request({
	id, ...readKind(kind), maximumAttempts, deadlineMs: longMs,
});

Given('target(s) {} of {int} slots, and a budget of {int} retries', function (this: SystemWorld, targets: string, slots: number, retries: number) {
	// The part of the slack that a process uses is 0.8 of it.
	const harness = new AttemptHarness(retries / 0.8);
	this.onClose(() => {
		harness.close();
	});
	harness.addTargets(targets.match(/t\d/gv) ?? [], slots);
	this.notes.set('attempts', harness);
});

Given('a stream "other" that makes progress throughout', async function (this: SystemWorld) {
	await send(getHarness(this), 'other', 'stream', 1);
	await getHarness(this).run(500, others);
});

When('a request {string} of kind {} with {int} attempts is sent, and {int} ms pass', async function (this: SystemWorld, id: string, kind: string, attempts: number, ms: number) {
	await send(getHarness(this), id, kind, attempts);
	await getHarness(this).run(ms, others);
});

When('a request {string} of kind {} with {int} attempts is sent, has its first event, and {int} ms pass', async function (this: SystemWorld, id: string, kind: string, attempts: number, ms: number) {
	const harness = getHarness(this);
	await send(harness, id, kind, attempts);
	harness.listAttempts(id).at(-1)!.progress();
	await harness.run(ms, others);
});

When('{string} has its first event, and {int} ms pass', async function (this: SystemWorld, id: string, ms: number) {
	getHarness(this).listAttempts(id).at(-1)!.progress();
	await getHarness(this).run(ms, others);
});

When('{int} ms more pass', async function (this: SystemWorld, ms: number) {
	await getHarness(this).run(ms, others);
});

When('target {word} registers, and {int} ms pass', async function (this: SystemWorld, id: string, ms: number) {
	getHarness(this).addTargets([id]);
	await getHarness(this).run(ms, others);
});

Given('target {word} takes {int} requests a second', function (this: SystemWorld, id: string, perSecond: number) {
	getHarness(this).limit(id, perSecond);
});

When('{string} goes on for {int} ms as soon as its next attempt is reserved', async function (this: SystemWorld, id: string, ms: number) {
	const harness = getHarness(this);
	const {exchange} = harness.requests.get(id)!;
	const getReserved = (): string | undefined => /no permit for (?<target>\w+) has been granted yet/v.exec(exchange.decisions.join(';'))?.groups!.target;
	while (getReserved() === undefined) {
		await harness.run(50, others);
	}

	this.notes.set('reserved', getReserved());
	await harness.run(ms, [...others, id]);
});

When('the reserved target leaves, and that of {string} is silent for {int} ms', async function (this: SystemWorld, _request: string, ms: number) {
	getHarness(this).removeTarget(this.notes.get('reserved') as string);
	await getHarness(this).run(ms, others);
});

When('the caller of {string} leaves', async function (this: SystemWorld, id: string) {
	getHarness(this).requests.get(id)!.exchange.disconnection.abort('caller');
	await getHarness(this).settle();
});

Then('{string} has been sent {int} times, and is not ended', function (this: SystemWorld, id: string, times: number) {
	const harness = getHarness(this);
	assert.equal(harness.listAttempts(id).length, times);
	assert.equal(harness.requests.get(id)!.result, undefined);
});

Then('{string} has been sent to two targets, and not to the reserved one', function (this: SystemWorld, id: string) {
	const targets = getHarness(this).listAttempts(id).map(({target}) => target);
	assert.equal(targets.length, 2);
	assert.ok(!targets.includes(this.notes.get('reserved') as string), targets.join(', '));
});

Then('the attempt of {string} {}', function (this: SystemWorld, id: string, expected: string) {
	const [{abortReason}] = getHarness(this).listAttempts(id);
	assert.equal(abortReason === undefined ? 'goes on' : 'ends', expected);
});

Then('{int} retries were charged', function (this: SystemWorld, count: number) {
	assert.equal(getHarness(this).retries, count);
});
