/* Runs a forwarding entry before a stand-in target, and causes errors outside of requests by the words that it reads. */
/* eslint-disable import-x/order, import-x/no-unassigned-import -- logging must be enabled before any module loads the logger */
import '../../src/log/enable-log.js';
import process from 'node:process';
import {ok} from 'neverthrow';
import {findFreePorts} from '../../bench/support/find-free-ports.js';
import {runProcess} from '../../src/bin/run-process.js';
import {ForwardEntrySettings} from '../../src/config/forward-entry-settings.js';
import {readMonotonicClock} from '../../src/config/read-monotonic-clock.js';
import {startForwardEntry} from '../../src/forward/start-forward-entry.js';
import {MemoryStore} from './memory-store.js';
import {plainDialect} from './plain-dialect.js';
import {plainSource} from './plain-source.js';
import {startHttpTarget} from './start-http-target.js';

const [httpPort, linkPort, readyPort, metricsPort] = await findFreePorts(4);
const settings = ForwardEntrySettings.parse({
	id: 'entry-1',
	availabilityZone: 'barre-hall',
	callers: `127.0.0.1:${httpPort}`,
	linkPort,
	metricsPort,
	ready: {address: `127.0.0.1:${readyPort}`, path: '/readyz'},
	store: {address: 'in-memory'},
	link: {key: '00'.repeat(32)},
	stop: {graceMs: 8000, noticeMs: 100},
});
const store = new MemoryStore();
const target = await startHttpTarget('desk', 'target-1', 'barre-hall');
target.behaviours.push('slow');
store.put('targets/target-1', target.target);
store.put('configuration', {
	version: 1,
	routes: [{
		name: 'draft',
		host: 'desk.example',
		prefix: '/stream/',
		kind: 'stream',
		timeoutMs: 8000,
		targetLatencyMs: 400,
		destinations: [{service: 'desk', weight: 1}],
		maximumAttempts: 1,
		isPublic: true,
		isResumable: false,
	}],
	services: [{name: 'desk', maximumConnections: 100}],
	organisations: [],
	limits: {
		maximumHeaderBytes: 4096, maximumBodyBytes: 2000, headerTimeoutMs: 3000, idleTimeoutMs: 5000,
	},
});

const actions: Readonly<Record<string, () => void>> = {
	throw() {
		throw new Error('nothing handles this');
	},
	reject() {
		void Promise.reject(new Error('nothing handles this'));
	},
	release() {
		target.releaseAnswer();
	},
};
process.stdin.on('data', words => {
	for (const word of String(words).trim().split('\n')) {
		setImmediate(actions[word]);
	}
});
const client = store.createClient('entry-1');
await runProcess({
	name: 'failing-entry',
	readFile: () => ok(settings),
	async start() {
		const entry = await startForwardEntry(settings, {
			feed: client, registry: client, source: plainSource, dialect: plainDialect, clock: readMonotonicClock, random: Math.random,
		});
		process.stdout.write(`listening on ${httpPort}, ready on ${readyPort}\n`);
		return entry;
	},
}, ['settings']);
