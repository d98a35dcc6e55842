import assert from 'node:assert/strict';
import {IncomingMessage, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import {setImmediate as yieldTurn} from 'node:timers/promises';
import {Then, When} from '@cucumber/cucumber';
import {Call} from '../../src/calls/call.js';
import {type Exchange} from '../../src/requests/exchange.js';
import {relayAnswer} from '../../src/requests/relay-answer.js';
import {type SystemWorld} from '../support/system-world.js';

const partBytes = 65_536;
const watchedEvents = ['close', 'drain', 'error'];

const countListeners = (response: ServerResponse): number => watchedEvents.reduce((sum, event) => sum + response.listenerCount(event), 0);

When('an answer of {int} parts is relayed to a caller who reads each one late', async function (this: SystemWorld, parts: number) {
	// Without a socket each write of this size waits until the scenario lets it go on.
	const response = new ServerResponse(new IncomingMessage(new Socket()));
	const call = new Call('the-request', 1, () => true);
	const exchange = {response, prepareHead: () => undefined, memory: {grow: () => true}} as unknown as Exchange;
	const part = {id: 'the-request', attempt: 1};
	const before = countListeners(response);
	call.receive({
		type: 'head', ...part, sequence: 0, status: 200, headers: {}, tableVersion: 0,
	});
	const head = await call.nextEvent();
	assert.equal(head.type, 'head');
	void relayAnswer(head, call, exchange);
	let waits = 0;
	for (let sequence = 1; sequence <= parts; sequence++) {
		call.receive({
			type: 'data', ...part, sequence, chunk: new Uint8Array(partBytes),
		});
		await yieldTurn();
		waits += Number(response.listenerCount('drain') > 0);
		response.emit('drain');
		await yieldTurn();
	}

	assert.equal(waits, parts);
	this.notes.set('listeners', {before, after: countListeners(response)});
});

Then('no more listeners wait for the end of its response than before', function (this: SystemWorld) {
	const {before, after} = this.notes.get('listeners') as {readonly before: number; readonly after: number};
	assert.equal(after, before);
});
