import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {type Call} from '../../src/calls/call.js';
import {type CallEvent} from '../../src/calls/call-event.js';
import {type LinkMessage} from '../../src/link/link-message.js';
import {type MessageOf} from '../../src/link/message-of.js';
import {LinkPair} from '../support/link-pair.js';
import {shuffle} from '../support/shuffle.js';
import {type SystemWorld} from '../support/system-world.js';

const getPair = (world: SystemWorld): LinkPair => world.notes.get('pair') as LinkPair;

const flush = async (): Promise<void> => new Promise(resolve => {
	setImmediate(resolve);
});

const waitForLink = async (pair: LinkPair): Promise<void> => {
	while (!pair.entry.isReady) {
		await flush();
	}
};

const send = (world: SystemWorld, request: MessageOf<'request'>): void => {
	world.notes.set('request', request);
	world.notes.set('call', getPair(world).entry.request(request));
};

const readCall = async (world: SystemWorld): Promise<{text: string; last: CallEvent}> => {
	const events = await getPair(world).readEvents(world.notes.get('call') as Call);
	const text = events.map(event => event.type === 'data' ? new TextDecoder().decode(event.chunk) : '').join('');
	return {text, last: events.at(-1)!};
};

const openPair = async (world: SystemWorld, records?: number): Promise<void> => {
	const pair = new LinkPair(records);
	world.notes.set('pair', pair);
	world.onClose(() => {
		pair.close();
	});
	await waitForLink(pair);
};

Given('an entry linked to a target', async function (this: SystemWorld) {
	await openPair(this);
});

Given('a target with room for {int} record', async function (this: SystemWorld, records: number) {
	await openPair(this, records);
});

When('the link holds messages back', function (this: SystemWorld) {
	getPair(this).link.isHolding = true;
});

When('the entry sends a request', function (this: SystemWorld) {
	send(this, getPair(this).makeRequest());
});

When('the entry sends a request with key {string}', function (this: SystemWorld, key: string) {
	send(this, getPair(this).makeRequest(key));
});

When('the entry sends a request with key {string} of owner {string}', function (this: SystemWorld, key: string, owner: string) {
	send(this, getPair(this).makeRequest(key, owner));
});

When('the entry sends a request with key {string} whose claim has expired', function (this: SystemWorld, key: string) {
	const request = getPair(this).makeRequest(key);
	getPair(this).now += 60_001;
	send(this, request);
});

When('the entry cancels it', function (this: SystemWorld) {
	getPair(this).entry.cancel(this.notes.get('call') as Call);
});

When('the cancel arrives before the request', function (this: SystemWorld) {
	const {link} = getPair(this);
	link.toTarget.reverse();
	link.deliverHeld();
});

When('the request arrives', function (this: SystemWorld) {
	const {link} = getPair(this);
	link.deliverToTarget(link.toTarget.shift()!);
});

When('the link is lost and reconnects', async function (this: SystemWorld) {
	const pair = getPair(this);
	pair.link.disconnect();
	pair.link.isHolding = false;
	await waitForLink(pair);
});

When('the link is lost for {int} seconds', function (this: SystemWorld, seconds: number) {
	const pair = getPair(this);
	pair.link.isDown = true;
	pair.link.disconnect();
	pair.now += seconds * 1000;
	pair.entry.tick(pair.now);
});

When('the delayed request arrives', function (this: SystemWorld) {
	const {link} = getPair(this);
	link.deliverToTarget(link.toTarget.shift()!);
});

When('a late copy of that request arrives', function (this: SystemWorld) {
	getPair(this).link.deliverToTarget(this.notes.get('request') as LinkMessage);
});

When('the target process is replaced', async function (this: SystemWorld) {
	const pair = getPair(this);
	pair.replaceTarget();
	await waitForLink(pair);
});

When('the engine writes {string} and {string}', function (this: SystemWorld, one: string, other: string) {
	getPair(this).writeAnswer([one, other], false);
});

When('the engine writes {string} and ends', function (this: SystemWorld, word: string) {
	getPair(this).continueAnswer(word, true);
});

When('the engine writes the letters of {string} and ends', function (this: SystemWorld, text: string) {
	getPair(this).writeAnswer([...text], true);
});

When('the parts of the answer arrive duplicated and out of order', async function (this: SystemWorld) {
	const {link} = getPair(this);
	const parts = link.toEntry.splice(0);
	link.deliverToEntry(shuffle([...parts, ...parts], 11));
	// The gaps make the entry ask the target to resume; from here on the link delivers in order.
	link.deliverHeld();
	await flush();
});

When('a complete answer to another attempt arrives', function (this: SystemWorld) {
	const {id} = this.notes.get('request') as MessageOf<'request'>;
	const part = {id, attempt: 7};
	getPair(this).link.deliverToEntry([
		{
			type: 'head', ...part, sequence: 0, status: 200, headers: {}, tableVersion: 0,
		},
		{
			type: 'data', ...part, sequence: 1, chunk: new TextEncoder().encode('wrong'),
		},
		{type: 'end', ...part, sequence: 2},
	]);
});

When('a second copy of key {string} asks for the answer of owner {string}', function (this: SystemWorld, key: string, owner: string) {
	const call = getPair(this).entry.request({
		type: 'attach', id: `copy-of-${owner}`, attempt: 1, key, owner,
	});
	this.notes.set('copy', getPair(this).readEvents(call));
});

When('the target is told to stop', function (this: SystemWorld) {
	getPair(this).isLeaving = true;
});

When('the target is told to start', function (this: SystemWorld) {
	getPair(this).isLeaving = false;
});

Then('the call ends as refused for {string}', async function (this: SystemWorld, reason: string) {
	const {last} = await readCall(this);
	assert.equal(last.type === 'refused' && last.reason, reason);
});

Then(/^the call ends as cancelled (before|after) it started$/, async function (this: SystemWorld, when: string) { // eslint-disable-line require-unicode-regexp
	const {last} = await readCall(this);
	assert.equal(last.type === 'cancelled' && last.started, when === 'after');
});

Then('the call ends as lost after {string}', async function (this: SystemWorld, expected: string) {
	const {text, last} = await readCall(this);
	assert.deepEqual([text, last.type], [expected, 'lost']);
});

Then('the call ends with the complete answer {string}', async function (this: SystemWorld, expected: string) {
	const {text, last} = await readCall(this);
	assert.deepEqual([text, last.type], [expected, 'end']);
});

Then('the engine has run {int} requests', function (this: SystemWorld, count: number) {
	assert.equal(getPair(this).running.length, count);
});

Then('the second copy is told that the run is {string}', async function (this: SystemWorld, record: string) {
	const [event] = await (this.notes.get('copy') as Promise<CallEvent[]>);
	assert.equal(event.type === 'refused' && event.record, record);
});

Then('the call of the second copy breaks off', async function (this: SystemWorld) {
	const [event] = await (this.notes.get('copy') as Promise<CallEvent[]>);
	assert.equal(event.type, 'broken');
});

Then('the second copy receives {string}', async function (this: SystemWorld, expected: string) {
	const events = await (this.notes.get('copy') as Promise<CallEvent[]>);
	const text = events.map(event => event.type === 'data' ? new TextDecoder().decode(event.chunk) : '').join('');
	assert.deepEqual([text, events.at(-1)!.type], [expected, 'end']);
});
