import process from 'node:process';
import {ForwardEntrySettings} from '../../src/config/forward-entry-settings.js';
import {readMonotonicClock} from '../../src/config/read-monotonic-clock.js';
import {type Target} from '../../src/fleet/target.js';
import {startForwardEntry} from '../../src/forward/start-forward-entry.js';
import {MemoryStore} from '../../stand-ins/forward/memory-store.js';
import {plainDialect} from '../../stand-ins/forward/plain-dialect.js';
import {plainSource} from '../../stand-ins/forward/plain-source.js';
import {startHttpTarget} from '../../stand-ins/forward/start-http-target.js';
import {findFreePorts} from './find-free-ports.js';

const route = {
	host: 'desk.example', timeoutMs: 10_000, targetLatencyMs: 400, destinations: [{service: 'desk', weight: 1}], maximumAttempts: 2, isPublic: true, isResumable: true,
};

/*
Child process of the forwarding benchmark: `target` runs a stand-in target, `entry TARGET_JSON` an entry that forwards to it.
It sends its target or port when it is ready, and its memory and CPU time on each message.
*/
const startEntry = async (target: Target): Promise<number> => {
	const [httpPort, linkPort, readyPort, metricsPort] = await findFreePorts(4);
	const store = new MemoryStore();
	store.put('configuration', {
		version: 1,
		routes: [{
			...route, name: 'read', prefix: '/read/', kind: 'idempotent',
		}, {
			...route, name: 'draft', prefix: '/stream/', kind: 'stream',
		}],
		services: [{name: 'desk', maximumConnections: 1000}],
		limits: {
			maximumHeaderBytes: 16_384, maximumBodyBytes: 1_000_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
	});
	store.put('targets/target-1', target);
	const entry = await startForwardEntry(ForwardEntrySettings.parse({
		id: 'entry-1',
		availabilityZone: 'zone-1',
		callers: `127.0.0.1:${httpPort}`,
		linkPort,
		metricsPort,
		ready: {address: `127.0.0.1:${readyPort}`, path: '/readyz'},
		store: {address: 'in-memory'},
		link: {key: '00'.repeat(32)},
	}), {
		feed: store.createClient('entry-1'), registry: store.createClient('entry-1'), source: plainSource, dialect: plainDialect, clock: readMonotonicClock, random: Math.random,
	});
	return entry.httpPort;
};

const [role, target] = process.argv.slice(2);
if (role === 'target') {
	const running = await startHttpTarget('desk', 'target-1', 'zone-1');
	process.send!({...running.target, slots: 1000});
} else {
	process.send!(await startEntry(JSON.parse(target) as Target));
}

process.on('message', () => {
	process.send!({rss: process.memoryUsage().rss, cpu: process.cpuUsage()});
});
