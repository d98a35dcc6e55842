import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {AdmissionQueue} from '../../src/admission/admission-queue.js';
import {type AdmissionRequest} from '../../src/admission/admission-request.js';
import {type AdmissionVerdict} from '../../src/admission/admission-verdict.js';
import {simulateLimits} from '../../bench/support/simulate-limits.js';
import {type Reply} from '../support/reply.js';
import {sendRequest} from '../support/send-request.js';
import {type SystemWorld} from '../support/system-world.js';
import {tokens} from '../support/tokens.js';

const getQueue = (world: SystemWorld): AdmissionQueue => world.notes.get('queue') as AdmissionQueue;

const openQueue = (world: SystemWorld, concurrency: number, queueLength = 1000): void => {
	world.notes.set('queue', new AdmissionQueue({concurrency, queueLength, agingMs: 2000}));
};

const makeRequest = (id: string, changes: Partial<AdmissionRequest> = {}): AdmissionRequest => ({
	id, organisation: 'granite', weight: 1, urgency: 3, arrivedAt: 0, deadline: 1_000_000, mayWait: true, ...changes,
});

/* Finishes the running request and starts the next; returns the next one. */
const runNext = (queue: AdmissionQueue, running: string, now: number): AdmissionRequest => {
	queue.finish(running, 100);
	return queue.startNext(now)!;
};

const ask = async (world: SystemWorld, entry: number, path: string, body: string): Promise<Reply> =>
	sendRequest({port: [...world.system.entries.values()][entry].httpPort, path, body});

const askModel = async (world: SystemWorld, entry: number, count: number, prompt = `prompt ${Math.floor(world.clock.read())}`): Promise<Reply> =>
	ask(world, entry, '/v1/chat/completions', JSON.stringify({model: 'stone-drafts', max_tokens: count, messages: [{role: 'user', content: prompt}]}));

const limitTable = (column: string, value: number): string => {
	const [, granite] = tokens.table.split('\n');
	const hash = granite.split(',').at(-1)!;
	return `service,organisation,group,${column},token_sha256\n*,granite,*,${value},${hash}\n`;
};

Given('a queue before an engine that runs {int} request at once', function (this: SystemWorld, concurrency: number) {
	openQueue(this, concurrency);
});

Given('a queue before an engine that runs {int} request at once and takes {int} ms for each', function (this: SystemWorld, concurrency: number, ms: number) {
	openQueue(this, concurrency);
	getQueue(this).serviceMs = ms;
});

Given('a queue of {int} places before an engine that runs {int} request at once', function (this: SystemWorld, places: number, concurrency: number) {
	openQueue(this, concurrency, places);
});

When('{string} and {string}, weighted {int} to {int}, each offer 40 requests', function (this: SystemWorld, one: string, other: string, oneWeight: number, otherWeight: number) {
	const queue = getQueue(this);
	queue.offer(makeRequest('first'), 0);
	for (let index = 0; index < 40; index++) {
		queue.offer(makeRequest(`${one}-${index}`, {organisation: one, weight: oneWeight}), 0);
		queue.offer(makeRequest(`${other}-${index}`, {organisation: other, weight: otherWeight}), 0);
	}
});

When('the engine runs {int} of them', function (this: SystemWorld, count: number) {
	const ran: string[] = [];
	let running = 'first';
	for (let index = 0; index < count; index++) {
		running = runNext(getQueue(this), running, 0).id;
		ran.push(running);
	}

	this.notes.set('ran', ran);
});

Then('{string} got about {int} in {int} of the runs', function (this: SystemWorld, organisation: string, part: number, whole: number) {
	const ran = this.notes.get('ran') as string[];
	const share = ran.filter(id => id.startsWith(organisation)).length / ran.length;
	assert.ok(Math.abs(share - (part / whole)) <= 0.05, String(share));
});

When('a request of urgency {int} has waited for {int} seconds', function (this: SystemWorld, urgency: number, seconds: number) {
	getQueue(this).offer(makeRequest('first'), 0);
	getQueue(this).offer(makeRequest('old', {urgency}), 0);
	this.notes.set('now', seconds * 1000);
});

When('requests of urgency {int} keep arriving', function (this: SystemWorld, urgency: number) {
	const now = this.notes.get('now') as number;
	for (let index = 0; index < 5; index++) {
		getQueue(this).offer(makeRequest(`new-${index}`, {urgency, arrivedAt: now}), now);
	}
});

Then('the request of urgency {int} runs before those that arrived later', function (this: SystemWorld, _urgency: number) {
	assert.equal(runNext(getQueue(this), 'first', this.notes.get('now') as number).id, 'old');
});

When(/^(\d+) requests (?:wait|wait or run)$/, function (this: SystemWorld, count: string) { // eslint-disable-line require-unicode-regexp
	for (let index = 0; index < Number(count); index++) {
		getQueue(this).offer(makeRequest(`request-${index}`), 0);
	}
});

When('a request with a deadline in {int} ms is offered', function (this: SystemWorld, ms: number) {
	this.notes.set('verdict', getQueue(this).offer(makeRequest('offered', {deadline: ms}), 0));
});

Then('it is refused as {string} with a retry delay', function (this: SystemWorld, reason: string) {
	const verdict = this.notes.get('verdict') as AdmissionVerdict;
	assert.ok(verdict.kind === 'refuse' && verdict.reason === reason && verdict.retryAfterMs >= 0);
});

Then('a request with a deadline in {int} ms is queued', function (this: SystemWorld, ms: number) {
	assert.equal(getQueue(this).offer(makeRequest('queued', {deadline: ms}), 0).kind, 'wait');
});

Given('a running system whose targets run {int} request at once, with engines that pace their answers', async function (this: SystemWorld, concurrency: number) {
	await this.startSystem({isPaced: true, targetSettings: {admission: {concurrency}}});
});

When('a caller asks for a long answer', async function (this: SystemWorld) {
	void askModel(this, 0, 1000);
	await this.system.waitUntil('it runs', () => [...this.system.engines.values()].some(({active}) => active.size === 1));
});

When('{int} more callers ask for long answers', function (this: SystemWorld, count: number) {
	for (let index = 1; index <= count; index++) {
		void askModel(this, index, 1000);
	}
});

Then('each of the {int} requests runs at a different target', async function (this: SystemWorld, count: number) {
	await this.system.waitUntil('each runs at another target', () => [...this.system.engines.values()].filter(({active}) => active.size === 1).length === count);
});

Given('the engines of {string} and {string} break off every answer', function (this: SystemWorld, one: string, other: string) {
	for (const id of [one, other]) {
		this.system.engines.get(id)!.isDroppingConnections = true;
	}
});

Given('the engines of {string} and {string} are down', async function (this: SystemWorld, one: string, other: string) {
	for (const id of [one, other]) {
		await this.system.engines.get(id)!.close();
	}
});

When('{int} requests are sent, one after another', async function (this: SystemWorld, count: number) {
	const replies: Reply[] = [];
	for (let index = 0; index < count; index++) {
		replies.push(await askModel(this, 0, 1));
	}

	this.notes.set('replies', replies);
});

Given('a running system that waits {int} ms for a lost link, on a held clock, with draws from seed {int}', async function (this: SystemWorld, ms: number, seed: number) {
	await this.startHeldSystem(seed, {entrySettings: {requests: {resumeMs: ms}}});
});

When('{int} requests with prompts from seed {int} are sent, one after another, {int} ms apart', async function (this: SystemWorld, count: number, seed: number, ms: number) {
	const replies: Reply[] = [];
	for (let index = 0; index < count; index++) {
		replies.push(await askModel(this, 0, 1, `prompt ${seed} ${index}`));
		this.clock.advance(ms);
	}

	this.notes.set('replies', replies);
});

Then('the engines have seen at most {int} requests', function (this: SystemWorld, count: number) {
	const seen = [...this.system.engines.values()].reduce((sum, engine) => sum + engine.totalRequests, 0);
	assert.ok(seen <= count, String(seen));
});

Then('at least {int} requests were answered', function (this: SystemWorld, count: number) {
	const answered = (this.notes.get('replies') as Reply[]).filter(({status}) => status === 200).length;
	assert.ok(answered >= count, String(answered));
});

Given('a running system where {string} may send {int} requests per second', async function (this: SystemWorld, _organisation: string, rate: number) {
	await this.startSystem({table: limitTable('requests_per_second', rate)});
});

Given('a running system where {string} may run {int} requests at once', async function (this: SystemWorld, _organisation: string, count: number) {
	await this.startSystem({table: limitTable('concurrency', count)});
});

When('each of {int} entries is sent {int} requests within a second', async function (this: SystemWorld, entries: number, count: number) {
	// By the clock that the limits go by, a second passes between the first half and the second, however long the machine takes.
	this.clock.hold();
	const sendHalf = async (): Promise<Reply[]> => Promise.all(Array.from({length: entries * count / 2}, async (_, index) => ask(this, index % entries, '/services/yard-dispatch/x', 'x')));
	const first = await sendHalf();
	this.clock.advance(1000);
	this.notes.set('replies', [...first, ...await sendHalf()]);
});

Then('at most {int} requests were admitted', function (this: SystemWorld, count: number) {
	const admitted = (this.notes.get('replies') as Reply[]).filter(({status}) => status === 200).length;
	assert.ok(admitted > 0 && admitted <= count, String(admitted));
});

Then('the others were refused with {int}, {string} and a retry delay', function (this: SystemWorld, status: number, outcome: string) {
	const others = (this.notes.get('replies') as Reply[]).filter(reply => reply.status !== 200);
	assert.ok(others.length > 0);
	for (const reply of others) {
		assert.deepEqual([reply.status, (JSON.parse(reply.text) as {outcome: string}).outcome], [status, outcome]);
		assert.ok(Number(reply.headers['retry-after']) >= 1);
	}
});

When('each of {int} entries is sent {int} requests that are held', function (this: SystemWorld, entries: number, count: number) {
	const ended: Reply[] = [];
	this.notes.set('ended', ended);
	for (let index = 0; index < entries * count; index++) {
		void ask(this, index % entries, '/services/yard-dispatch/x', 'x').then(reply => ended.push(reply));
	}
});

const countRuns = (world: SystemWorld): number => [...world.system.services.values()].reduce((sum, {totalRequests: total}) => sum + total, 0);

/*
 * The first request opens the entry's link to the entry that owns the limit. Without that link, an entry may admit one
 * request on its own.
 */
Given('every entry has served a request', async function (this: SystemWorld) {
	await this.system.waitUntil('every entry reaches the owner of the limit', async () => {
		const replies = [];
		for (let entry = 0; entry < this.system.entries.size; entry++) {
			replies.push(await ask(this, entry, '/services/yard-dispatch/x', 'x'));
		}

		return replies.every(({status}) => status === 200);
	});
	this.notes.set('runsBefore', countRuns(this));
});

Then('at most {int} requests run at once and the others of {int} were refused with {int}', async function (this: SystemWorld, most: number, all: number, status: number) {
	const ended = this.notes.get('ended') as Reply[];
	const countHeld = (): number => countRuns(this) - (this.notes.get('runsBefore') as number);
	await this.system.waitUntil('each request runs or is refused', () => ended.length + countHeld() === all);
	assert.ok(countHeld() > 0 && countHeld() <= most, `${countHeld()} run`);
	assert.ok(ended.every(reply => reply.status === status));
});

Given('8 entries in two zones that share a limit of {int} a second', function (this: SystemWorld, limit: number) {
	this.notes.set('limit', limit);
});

When('the zones are partitioned and have detected it', function (this: SystemWorld) {
	this.notes.set('cut', {cutFromMs: 0, noticedAfterMs: 0});
});

Then('of {int} a second offered for {int} seconds at most {int} a second are admitted', async function (this: SystemWorld, offered: number, seconds: number, most: number) {
	const admitted = await simulateLimits({
		limit: this.notes.get('limit') as number, offered, seconds, ...this.notes.get('cut') as {cutFromMs: number; noticedAfterMs: number},
	});
	// The first two seconds are left out, since they include the buckets' burst.
	const mean = admitted.slice(2).reduce((sum, count) => sum + count, 0) / (seconds - 2);
	assert.ok(mean > most * 0.8 && mean <= most, String(mean));
});
