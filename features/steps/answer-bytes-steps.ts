import assert from 'node:assert/strict';
import {once} from 'node:events';
import {type IncomingMessage} from 'node:http';
import {setImmediate as yieldToOthers} from 'node:timers/promises';
import {Then, When} from '@cucumber/cucumber';
import {type ForwardSystem} from '../support/forward-system.js';
import {type SystemWorld} from '../support/system-world.js';

const getSystem = (world: SystemWorld): ForwardSystem => world.notes.get('forward') as ForwardSystem;

When('a caller that reads slowly gets {string}', async function (this: SystemWorld, path: string) {
	const incoming = await getSystem(this).open({path});
	assert.equal(incoming.statusCode, 200);
	const chunks: string[] = [];
	for await (const chunk of incoming) {
		chunks.push(String(chunk));
		await yieldToOthers();
	}

	this.notes.set('body', chunks.join(''));
});

When('{int} callers wait for answers at once', async function (this: SystemWorld, count: number) {
	const system = getSystem(this);
	const targets = [...system.targets.values()];
	const countArrivals = (): number => targets.reduce((sum, {arrivals}) => sum + arrivals, 0);
	const before = countArrivals();
	for (const target of targets) {
		target.behaviours.shift = () => 'silent';
	}

	const callers = Array.from({length: count}, async () => system.call({path: '/release/1', method: 'POST', isSeparate: true}));
	// The scenario ends before these requests are answered.
	this.notes.set('waiting', Promise.allSettled(callers));
	await system.until(() => countArrivals() === before + count);
});

When('{int} callers get large answers at once and read nothing yet', async function (this: SystemWorld, count: number) {
	const system = getSystem(this);
	for (const target of system.targets.values()) {
		target.behaviours.push(...Array.from({length: count}, () => 'large a body with a length' as const));
	}

	this.notes.set('unread', await Promise.all(Array.from({length: count}, async () => system.open({path: '/release/1', method: 'POST', isSeparate: true}))));
});

Then('{int} of them get their whole answers as they read, and the others get status {int}', async function (this: SystemWorld, whole: number, status: number) {
	const answers = this.notes.get('unread') as IncomingMessage[];
	assert.deepEqual(answers.filter(({statusCode}) => statusCode !== 200).map(({statusCode}) => statusCode), Array.from({length: answers.length - whole}, () => status));
	for (const answer of answers.filter(({statusCode}) => statusCode === 200)) {
		answer.resume();
		await once(answer, 'end');
		assert.ok(answer.complete);
	}
});

Then('one target has got {int} request(s), the other one {int}', function (this: SystemWorld, fewer: number, more: number) {
	const arrivals = [...getSystem(this).targets.values()].map(target => target.arrivals);
	assert.deepEqual(arrivals.toSorted((one, other) => one - other), [fewer, more]);
});

Then('the caller gets every byte of the large answer', function (this: SystemWorld) {
	const {largeBody} = getSystem(this).targets.get('target-1')!;
	const body = this.notes.get('body') as string;
	assert.equal(body.length, largeBody.length);
	assert.ok(body === largeBody);
});
