import assert from 'node:assert/strict';
import {randomBytes} from 'node:crypto';
import {Given, Then, When} from '@cucumber/cucumber';
import {request} from 'undici';
import {startTraceCollector} from '../../stand-ins/platform/start-trace-collector.js';
import {type TraceCollector} from '../../stand-ins/platform/trace-collector.js';
import {runCommand} from '../support/run-command.js';
import {sendRequest} from '../support/send-request.js';
import {type SystemWorld} from '../support/system-world.js';
import {tokens} from '../support/tokens.js';

const getAddresses = (world: SystemWorld): string[] => ['--vm-list', world.system.vmList.url];

Given('a running system that exports spans', async function (this: SystemWorld) {
	const collector = await startTraceCollector();
	this.notes.set('collector', collector);
	this.onClose(() => {
		collector.close();
	});
	const tracing = {otlpUrl: collector.url};
	const table = tokens.table.replace('*,granite,*,2,,,', '*,granite,*,2,5,100,');
	await this.startSystem({table, entrySettings: {tracing}, targetSettings: {tracing}});
});

When('a caller with a trace asks {string} to release ticket {string} with key {string}', async function (this: SystemWorld, service: string, ticket: string, key: string) {
	const traceId = randomBytes(16).toString('hex');
	this.notes.set('traceId', traceId);
	const [entry] = this.system.entries.values();
	const reply = await sendRequest({
		port: entry.httpPort, path: `/services/${service}/x`, body: ticket, headers: {'idempotency-key': key, traceparent: `00-${traceId}-${randomBytes(8).toString('hex')}-01`},
	});
	assert.equal(reply.status, 200, reply.text);
});

Then('the spans {string} of that trace are exported', async function (this: SystemWorld, list: string) {
	const names = list.split(', ');
	const collector = this.notes.get('collector') as TraceCollector;
	const traceId = this.notes.get('traceId') as string;
	await this.system.waitUntil('all spans have arrived', () => names.every(name => collector.spans.some(span => span.name === name && span.traceId === traceId)));
});

Then('the admin server of entry {int} reports {string}', async function (this: SystemWorld, number: number, line: string) {
	const entry = [...this.system.entries.values()][number - 1];
	const answer = await request(`http://127.0.0.1:${entry.adminPort}/metrics`);
	const text = await answer.body.text();
	assert.ok(text.includes(line), text.split('\n').filter(one => one.startsWith('wardswitch_requests')).join('\n'));
});

Then('the command {string} of that request names the target that ran it', async function (this: SystemWorld, command: string) {
	const reply = await this.replies.get('first')!;
	const {stdout, code} = await runCommand([command, String(reply.headers['wardswitch-request-id']), ...getAddresses(this)]);
	const [id] = [...this.system.services].find(([, service]) => service.totalRequests > 0)!;
	assert.equal(code, 0);
	assert.ok(stdout.includes(`answered whole by ${id}`), stdout);
});

Then('the command {string} names every entry as ready', async function (this: SystemWorld, command: string) {
	const {stdout} = await runCommand([command, ...getAddresses(this)]);
	for (const id of this.system.entries.keys()) {
		assert.match(stdout, new RegExp(String.raw`${id} in \S+: ready`, 'v'));
	}
});

Then('the command {string} names every target as serving', async function (this: SystemWorld, command: string) {
	const {stdout} = await runCommand([...command.split(' '), ...getAddresses(this)]);
	for (const id of this.system.targets.keys()) {
		assert.match(stdout, new RegExp(`${id} .*serving`, 'v'));
	}
});
