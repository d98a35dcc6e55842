import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {type HttpTarget} from '../../stand-ins/forward/http-target.js';
import {type ForwardSystem} from '../support/forward-system.js';
import {type SystemWorld} from '../support/system-world.js';

type Answer = Awaited<ReturnType<ForwardSystem['call']>>;

/** Maximum number of requests that a scenario sends until one reaches the target. */
const maximumTries = 60;

const getSystem = (world: SystemWorld): ForwardSystem => world.notes.get('forward') as ForwardSystem;
const getTarget = (world: SystemWorld, number: number): HttpTarget => getSystem(world).targets.get(`target-${number}`)!;

const send = async (world: SystemWorld, request: string, entry = 'entry-1'): Promise<Answer> => {
	const [method, path] = request.split(' ');
	return getSystem(world).call({
		entry, method, path, ...(method === 'POST' && {body: 'a block'}),
	});
};

const sendUntil = async (world: SystemWorld, request: string, isEnough: () => boolean): Promise<void> => {
	for (let tries = 0; tries < maximumTries && !isEnough(); tries++) {
		await send(world, request);
	}

	assert.ok(isEnough(), `not reached with ${maximumTries} requests`);
};

/* Registers the target again with changes, and waits until the entry has read it. */
const register = async (world: SystemWorld, number: number, change: object): Promise<void> => {
	const system = getSystem(world);
	const {target} = getTarget(world, number);
	system.store.put(`targets/${target.id}`, {...target, ...change});
	await system.until(() => system.entries.get('entry-1')!.getRevision() >= system.store.lastRevision);
};

Given('target {int} refuses all requests with status {int} and Retry-After {string}', function (this: SystemWorld, number: number, status: number, value: string) {
	getTarget(this, number).refusal = {status, headers: {'retry-after': value}};
});

Given('target {int} refuses all requests with status {int} and Retry-After {string}, under the id {string}', function (this: SystemWorld, number: number, status: number, value: string, name: string) {
	getTarget(this, number).refusal = {status, headers: {'retry-after': value, 'x-answered-by': name}};
});

Given('target {int} announces in its answers that it is leaving', function (this: SystemWorld, number: number) {
	getTarget(this, number).extraHeaders = {'x-leaving': '1'};
});

Given('target {int} answers {string} first', function (this: SystemWorld, number: number, manner: HttpTarget['behaviours'][number]) {
	getTarget(this, number).behaviours.push(manner);
});

When('target {int} no longer announces it', function (this: SystemWorld, number: number) {
	getTarget(this, number).extraHeaders = {};
});

When('target {int} is registered again unchanged', async function (this: SystemWorld, number: number) {
	await register(this, number, {});
});

When('target {int} restarts under its id', async function (this: SystemWorld, number: number) {
	const target = getTarget(this, number);
	target.extraHeaders = {};
	target.refusal = undefined;
	await register(this, number, {bornAt: 2});
});

When('a caller sends {string} until one request has reached target {int}', async function (this: SystemWorld, request: string, number: number) {
	const target = getTarget(this, number);
	await sendUntil(this, request, () => target.arrivals > 0);
});

When('a caller sends {string} {int} times', async function (this: SystemWorld, request: string, count: number) {
	const answers: Answer[] = [];
	for (let sent = 0; sent < count; sent++) {
		answers.push(await send(this, request));
	}

	this.notes.set('answers', answers);
});

Then('a caller that repeats {string} reaches target {int}', async function (this: SystemWorld, request: string, number: number) {
	const target = getTarget(this, number);
	const before = target.arrivals;
	await sendUntil(this, request, () => target.arrivals > before);
});

Then('target {int} has received one request', function (this: SystemWorld, number: number) {
	assert.equal(getTarget(this, number).arrivals, 1);
});

Then('all of these requests are refused as not run', function (this: SystemWorld) {
	for (const {status, body} of this.notes.get('answers') as Answer[]) {
		assert.equal(status, 503);
		assert.equal((JSON.parse(body) as {outcome: string}).outcome, 'not-run');
	}
});

Then('the last {int} are refused as not run, with different Retry-After values of at least {int} ms', function (this: SystemWorld, count: number, leastMs: number) {
	const answers = this.notes.get('answers') as Answer[];
	assert.equal(answers.length, count);
	assert.deepEqual([...new Set(answers.map(({status}) => status))], [503]);
	const waits = answers.map(({headers}) => Number(headers['retry-after']) * 1000);
	assert.ok(Math.min(...waits) >= leastMs, waits.join(' '));
	assert.ok(Math.max(...waits) - Math.min(...waits) > 50, waits.join(' '));
});

Then('soon no request sent to {string} reaches target {int}', async function (this: SystemWorld, entry: string, number: number) {
	const target = getTarget(this, number);
	await getSystem(this).until(async () => {
		const before = target.arrivals;
		for (let sent = 0; sent < 12; sent++) {
			await send(this, 'GET /read/1', entry);
		}

		return target.arrivals === before;
	});
});
