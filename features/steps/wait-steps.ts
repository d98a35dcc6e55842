import assert from 'node:assert/strict';
import {request as httpRequest} from 'node:http';
import {Given, Then, When} from '@cucumber/cucumber';
import {ForwardSystem} from '../support/forward-system.js';
import {PacedTarget} from '../support/paced-target.js';
import {type SystemWorld} from '../support/system-world.js';

type Result = {readonly isWhole: boolean; readonly status: number; readonly events: number; readonly afterMs: number};

/** Events of a stream that is not preempted: enough to go on while the others wait. */
const eventsPerStream = 150;
/** Streams at each target, besides those that wait, that go on meanwhile. */
const pacedStreams = 3;
const getSystem = (world: SystemWorld): ForwardSystem => world.notes.get('forward') as ForwardSystem;
const getTargets = (world: SystemWorld): PacedTarget[] => world.notes.get('paced') as PacedTarget[];

/* Sends a request on a connection of its own, with the last event of `lastEventId` as seen. */
const send = async (world: SystemWorld, path: string, id: string, lastEventId = 0): Promise<Result> => new Promise(resolve => {
	const startedAt = performance.now();
	let events = 0;
	const finish = (status: number, isWhole: boolean): void => {
		resolve({
			status, isWhole, events, afterMs: performance.now() - startedAt,
		});
	};

	const request = httpRequest({
		agent: false,
		host: '127.0.0.1',
		port: getSystem(world).entries.get('entry-1')!.httpPort,
		path,
		headers: {
			host: 'desk.example', authorization: 'Bearer key-of-barre', 'x-request': id, 'last-event-id': String(lastEventId),
		},
	}, answer => {
		answer.setEncoding('utf8');
		answer.on('data', (text: string) => {
			events += text.split('data:').length - 1;
		});
		answer.on('error', () => undefined);
		answer.on('close', () => {
			finish(answer.statusCode!, answer.complete);
		});
	});
	request.on('error', () => {
		finish(0, false);
	});
	request.end();
});

Given('a retry budget of none', function (this: SystemWorld) {
	this.notes.set('no retries', true);
});

Given('an entry before {int} paced target(s), with {int} attempts for a request and a timeout of {int} ms', async function (this: SystemWorld, count: number, attempts: number, timeoutMs: number) {
	const system = new ForwardSystem();
	this.notes.set('forward', system);
	this.notes.set('timeout', timeoutMs);
	system.configure(({routes}) => {
		for (const route of routes) {
			Object.assign(route, {maximumAttempts: attempts, timeoutMs});
		}
	});
	const targets: PacedTarget[] = [];
	this.notes.set('paced', targets);
	this.onClose(() => {
		system.close();
		for (const target of targets) {
			target.close();
		}
	});
	await system.addEntry('entry-1', true, this.notes.has('no retries') ? {repeats: {ratio: 0, slack: 0}} : {});
	this.notes.set('start', async (heldEvents: number) => {
		for (let number = 1; number <= count; number++) {
			const target = new PacedTarget(`target-${number}`, heldEvents, eventsPerStream);
			targets.push(target);
			system.store.put(`targets/target-${number}`, await target.start());
		}

		await system.until(() => system.entries.get('entry-1')!.getRevision() >= system.store.lastRevision);
	});
});

When('{int} request(s) to {string} wait(s) for {int} events of others, and the entry {string}', async function (this: SystemWorld, count: number, path: string, events: number, stop: string) {
	await (this.notes.get('start') as (heldEvents: number) => Promise<void>)(events);
	const system = getSystem(this);
	const targets = getTargets(this);
	for (let number = 1; number <= pacedStreams * targets.length; number++) {
		void send(this, '/stream/paced', `paced-${number}`);
	}

	await system.until(() => targets.every(({pacedEvents}) => pacedEvents > pacedStreams));
	const ids = Array.from({length: count}, (_empty, index) => `waits-${index + 1}`);
	for (const {preempted} of targets) {
		for (const id of ids) {
			preempted.add(id);
		}
	}

	// A stream that waits has five events left.
	const results = ids.map(async id => send(this, path, id, eventsPerStream - 5));
	await system.until(() => ids.every(id => targets.some(({runs}) => runs.includes(id))));
	if (stop === 'is told to stop') {
		void system.entries.get('entry-1')!.stop();
	}

	this.notes.set('results', await Promise.all(results));
	this.notes.set('ids', ids);
});

Then('all of them are answered completely, after {int} run(s) each', function (this: SystemWorld, runs: number) {
	const results = this.notes.get('results') as Result[];
	assert.deepEqual(results.map(({isWhole, status}) => ({isWhole, status})), results.map(() => ({isWhole: true, status: 200})));
	assert.ok(results.every(({events}) => events === 0 || events === 5), JSON.stringify(results));
	for (const id of this.notes.get('ids') as string[]) {
		assert.equal(getTargets(this).flatMap(target => target.runs).filter(run => run === id).length, runs);
	}
});

Then('none of them is answered, and each ends at its deadline', function (this: SystemWorld) {
	const timeoutMs = this.notes.get('timeout') as number;
	for (const {isWhole, status, afterMs} of this.notes.get('results') as Result[]) {
		assert.ok(!isWhole || status === 504);
		assert.ok(afterMs >= timeoutMs && afterMs < timeoutMs + 500, String(afterMs));
	}
});
