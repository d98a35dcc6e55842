import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {signTicket} from '../../src/once/sign-ticket.js';
import {type Reply} from '../support/reply.js';
import {sendRequest} from '../support/send-request.js';
import {type SystemWorld} from '../support/system-world.js';

const claimPrefix = 'wardswitch/claims/';

const getEntry = (world: SystemWorld, number: number) => [...world.system.entries.values()][number - 1];

const release = async (world: SystemWorld, entry: number, ticket: string, headers: Record<string, string>): Promise<Reply> =>
	sendRequest({
		port: getEntry(world, entry).httpPort, path: '/services/yard-dispatch/tickets', headers, body: `release ${ticket}`,
	});

const countRuns = (world: SystemWorld): number => [...world.system.services.values()].reduce((sum, service) => sum + service.totalRequests, 0);

const countClaims = async (world: SystemWorld): Promise<number> => {
	const claims = await world.system.keyValue.list(claimPrefix);
	return claims._unsafeUnwrap().length;
};

const checkProblem = async (world: SystemWorld, caller: string, status: number, outcome: string): Promise<void> => {
	const reply = await world.replies.get(caller)!;
	assert.deepEqual([reply.status, (JSON.parse(reply.text) as {outcome: string}).outcome], [status, outcome], reply.text);
};

Given('a running system that waits {int} ms for a lost link', async function (this: SystemWorld, ms: number) {
	await this.startSystem({entrySettings: {requests: {resumeMs: ms}}});
});

Given('{string} holds its answers', function (this: SystemWorld, _service: string) {
	for (const service of this.system.services.values()) {
		service.isHoldingAnswers = true;
	}
});

When('{string} sends its answers', function (this: SystemWorld, _service: string) {
	for (const service of this.system.services.values()) {
		service.releaseAnswers();
	}
});

When('entry {int} is asked to release ticket {string} with key {string}', function (this: SystemWorld, entry: number, ticket: string, key: string) {
	this.replies.set('first', release(this, entry, ticket, {'idempotency-key': key}));
});

When('entry {int} is asked to release ticket {string} with key {string} again', async function (this: SystemWorld, entry: number, ticket: string, key: string) {
	await this.system.waitUntil('the first request holds the claim', async () => await countClaims(this) === 1);
	this.replies.set('second', release(this, entry, ticket, {'idempotency-key': key}));
});

When('both requests have reached a target', async function (this: SystemWorld) {
	await this.system.waitUntil('a run has begun', () => countRuns(this) === 1);
	await this.system.waitUntil('the second request is attached', () => {
		const {targets} = getEntry(this, 3).getStatus() as {targets: Array<{openCalls: number}>};
		return targets.some(({openCalls}) => openCalls > 0);
	});
});

When('{string} has begun {int} run', async function (this: SystemWorld, _service: string, count: number) {
	await this.system.waitUntil('the run has begun', () => countRuns(this) === count);
});

When('entry {int} crashes', async function (this: SystemWorld, entry: number) {
	await getEntry(this, entry).kill();
});

When('the target process that runs it crashes and is replaced', async function (this: SystemWorld) {
	const [id] = [...this.system.services].find(([, service]) => service.totalRequests > 0)!;
	await this.system.targets.get(id)!.target.kill();
	await this.system.restartTarget(id);
});

When('every target process of {string} crashes and is replaced', async function (this: SystemWorld, _service: string) {
	for (const id of this.system.services.keys()) {
		await this.system.targets.get(id)!.target.kill();
		await this.system.restartTarget(id);
		const {incarnation} = this.system.targets.get(id)!.target;
		await this.system.waitUntil('every entry is linked to the new process', () => [...this.system.entries.values()].every(entry => {
			const {targets} = entry.getStatus() as {targets: Array<{id: string; incarnation: string; isReady: boolean}>};
			return targets.some(target => target.id === id && target.isReady && target.incarnation === incarnation);
		}));
	}
});

Given('every target of {string} begins to stop', async function (this: SystemWorld, _service: string) {
	for (const id of this.system.services.keys()) {
		void this.system.targets.get(id)!.target.stop();
	}
});

Given('the platform loses the answer to the next write', function (this: SystemWorld) {
	this.system.platform.faults.lostAnswers = 1;
});

Given('the platform is down', function (this: SystemWorld) {
	this.system.platform.faults.isDown = true;
});

Given('the platform takes {int} ms for an answer', function (this: SystemWorld, ms: number) {
	this.system.platform.faults.delayMs = ms;
});

Given('a caller holds a ticket for {string}', async function (this: SystemWorld, service: string) {
	const reply = await sendRequest({port: getEntry(this, 1).httpPort, path: '/tickets', body: JSON.stringify({service})});
	assert.equal(reply.status, 201, reply.text);
	this.notes.set('ticket', (JSON.parse(reply.text) as {ticket: string}).ticket);
});

Given('a caller holds a forged ticket for {string}', function (this: SystemWorld, service: string) {
	this.notes.set('ticket', signTicket({
		id: 'x', service, organisation: 'granite', target: 'yard-dispatch-0', incarnation: 'y', expiresAt: this.clock.read() + 60_000,
	}, '00'.repeat(32)));
});

When('entry {int} is asked to release ticket {string} with that ticket', function (this: SystemWorld, entry: number, ticket: string) {
	this.replies.set('first', release(this, entry, ticket, {'wardswitch-ticket': this.notes.get('ticket') as string}));
});

When('entry {int} is asked to release ticket {string} with that ticket again', async function (this: SystemWorld, entry: number, ticket: string) {
	await this.replies.get('first');
	this.replies.set('second', release(this, entry, ticket, {'wardswitch-ticket': this.notes.get('ticket') as string}));
});

When('a caller marks a request as not repeatable and gives no key', function (this: SystemWorld) {
	this.replies.set('first', release(this, 1, '7', {'wardswitch-repeatable': 'no'}));
});

When('{int} hours pass', function (this: SystemWorld, hours: number) {
	this.clock.advance(hours * 3_600_000);
});

Then('both callers get the same complete answer', async function (this: SystemWorld) {
	const first = await this.replies.get('first')!;
	const second = await this.replies.get('second')!;
	assert.deepEqual([first.status, first.isComplete], [200, true], first.text);
	assert.deepEqual([second.status, second.isComplete, second.text], [200, true, first.text]);
	assert.equal(second.headers['wardswitch-replayed'], 'true');
});

Then('the {word} caller gets status {int}', async function (this: SystemWorld, caller: string, status: number) {
	const reply = await this.replies.get(caller)!;
	assert.equal(reply.status, status, reply.text);
});

Then('the {word} caller gets status {int} and outcome {string}', async function (this: SystemWorld, caller: string, status: number, outcome: string) {
	await checkProblem(this, caller, status, outcome);
});

Then('the {word} caller gets key state {string}', async function (this: SystemWorld, caller: string, keyState: string) {
	const reply = await this.replies.get(caller)!;
	assert.equal((JSON.parse(reply.text) as {keyState: string}).keyState, keyState);
});

Then('{string} has run {int} time(s)', function (this: SystemWorld, _service: string, count: number) {
	assert.equal(countRuns(this), count);
});

Then('the platform holds {int} claim(s)', async function (this: SystemWorld, count: number) {
	assert.equal(await countClaims(this), count);
});

Then('no process has deleted a claim', function (this: SystemWorld) {
	assert.equal(this.system.platform.store.deleteOperations, 0);
});
