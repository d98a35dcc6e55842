import {once} from 'node:events';
import {request as httpRequest, Agent, type IncomingMessage} from 'node:http';
import {connect} from 'node:net';
import {type z} from 'zod';
import {findFreePorts} from '../../bench/support/find-free-ports.js';
import {ForwardEntrySettings} from '../../src/config/forward-entry-settings.js';
import {readMonotonicClock} from '../../src/config/read-monotonic-clock.js';
import {startForwardEntry} from '../../src/forward/start-forward-entry.js';
import {type HttpTarget} from '../../stand-ins/forward/http-target.js';
import {MemoryStore} from '../../stand-ins/forward/memory-store.js';
import {plainDialect} from '../../stand-ins/forward/plain-dialect.js';
import {plainSource} from '../../stand-ins/forward/plain-source.js';
import {startHttpTarget} from '../../stand-ins/forward/start-http-target.js';
import {RawCaller} from './raw-caller.js';

type Entry = Awaited<ReturnType<typeof startForwardEntry>>;
type Answer = {readonly status: number; readonly headers: IncomingMessage['headers']; readonly body: string; readonly isWhole: boolean};
type Call = {
	readonly entry?: string;
	readonly path: string;
	readonly method?: string;
	readonly body?: string;
	readonly headers?: Record<string, string>;
	readonly id?: string;
	/** Whether the call has a connection of its own, so that it waits for no other one. */
	readonly isSeparate?: boolean;
};

const linkKey = '00'.repeat(32);
const key = 'key-of-barre';
/** Interval at which `until` checks its condition, milliseconds. */
const pollMs = 5;
/** How long `until` waits, milliseconds. */
const untilTimeoutMs = 5000;

const route = (name: string, prefix: string, kind: 'idempotent' | 'once' | 'stream', more: object = {}) => ({
	name,
	host: 'desk.example',
	prefix,
	kind,
	timeoutMs: 3000,
	targetLatencyMs: 400,
	destinations: [{service: 'desk', weight: 1}],
	maximumAttempts: kind === 'once' ? 1 : 2,
	isPublic: false,
	isResumable: kind === 'stream',
	...more,
});

/** The configuration that scenarios begin with. */
const firstConfiguration = {
	version: 1,
	routes: [
		route('read', '/read/', 'idempotent'),
		route('release', '/release/', 'once'),
		route('draft', '/stream/', 'stream'),
		route('talk', '/talk/', 'stream', {isResumable: false}),
		route('short', '/short/', 'once', {timeoutMs: 300}),
	],
	services: [{name: 'desk', maximumConnections: 100}, {name: 'yard', maximumConnections: 100}],
	organisations: [{name: 'barre', keys: [key]}],
	limits: {
		maximumHeaderBytes: 4096, maximumBodyBytes: 2000, headerTimeoutMs: 3000, idleTimeoutMs: 5000,
	},
};

/** Forwarding entries on loopback before stand-in targets, with an in-memory store. */
export class ForwardSystem {
	readonly store = new MemoryStore();
	readonly entries = new Map<string, Entry>();
	readonly targets = new Map<string, HttpTarget>();
	readonly configuration = structuredClone(firstConfiguration);
	/** The header dialect of entries that are started from now on. */
	dialect = plainDialect;
	/** Addresses on which the entries accept links. */
	readonly linkAddresses: string[] = [];
	private readonly agent = new Agent({keepAlive: true, maxSockets: 1});
	private calls = 0;
	private skippedMs = 0;

	constructor() {
		this.store.put('configuration', this.configuration);
	}

	/** Starts a target and registers it. */
	async addTarget(id: string, service = 'desk'): Promise<HttpTarget> {
		const target = await startHttpTarget(service, id, 'barre-hall');
		this.targets.set(id, target);
		this.store.put(`targets/${id}`, target.target);
		return target;
	}

	/** Starts an entry; `isWaiting` says whether to wait until it is ready, `more` sets further settings. */
	async addEntry(id: string, isWaiting = true, more: Partial<z.input<typeof ForwardEntrySettings>> = {}): Promise<Entry> {
		const [httpPort, linkPort, readyPort, metricsPort] = await findFreePorts(4);
		const store = this.store.createClient(id);
		const entry = await startForwardEntry(ForwardEntrySettings.parse({
			id,
			availabilityZone: 'barre-hall',
			callers: `127.0.0.1:${httpPort}`,
			linkPort,
			metricsPort,
			seeds: this.linkAddresses.slice(0, 3),
			ready: {address: `127.0.0.1:${readyPort}`, path: '/readyz'},
			store: {address: 'in-memory'},
			link: {key: linkKey},
			stop: {graceMs: 4000, noticeMs: 100},
			...more,
		}), {
			feed: store, registry: store, source: plainSource, dialect: this.dialect, clock: () => readMonotonicClock() + this.skippedMs, random: Math.random,
		});
		this.linkAddresses.push(`127.0.0.1:${linkPort}`);
		this.entries.set(id, entry);
		if (isWaiting) {
			await this.until(() => entry.isReady());
		}

		return entry;
	}

	/** Advances the entries' clocks by `ms` at once. */
	skip(ms: number): void {
		this.skippedMs += ms;
	}

	/** Writes a changed configuration, as the next version. */
	configure(change: (configuration: typeof firstConfiguration) => void): void {
		this.configuration.version++;
		change(this.configuration);
		this.store.put('configuration', this.configuration);
	}

	/** Opens a connection to an entry on which a scenario writes bytes of its own. */
	connect(entry = 'entry-1'): RawCaller {
		return new RawCaller(this.entries.get(entry)!.httpPort, key);
	}

	/** Sends a request and reads the answer to its end; `isWhole` says whether it is complete. */
	async call(call: Call): Promise<Answer> {
		const incoming = await this.open(call);
		let body = '';
		incoming.setEncoding('utf8');
		incoming.on('data', chunk => {
			body += String(chunk);
		});
		incoming.on('error', () => undefined);
		await new Promise(resolve => {
			incoming.on('close', resolve);
		});
		return {
			status: incoming.statusCode!, headers: incoming.headers, body, isWhole: incoming.complete,
		};
	}

	/** Sends a request, and returns the answer when its head has arrived. */
	async open({entry = 'entry-1', path, method = 'GET', body, headers, id, isSeparate}: Call): Promise<IncomingMessage> {
		this.calls++;
		const request = httpRequest({
			host: '127.0.0.1',
			port: this.entries.get(entry)!.httpPort,
			agent: isSeparate ? false : this.agent,
			path,
			method,
			headers: {
				host: 'desk.example', authorization: `Bearer ${key}`, 'x-request': id ?? `request-${this.calls}`, ...headers,
			},
		});
		request.end(body);
		const [incoming] = await once(request, 'response') as [IncomingMessage];
		return incoming;
	}

	/** Waits until a condition holds; fails after `untilTimeoutMs`. */
	async until(condition: () => boolean | Promise<boolean>): Promise<void> {
		const end = readMonotonicClock() + untilTimeoutMs;
		while (!await condition()) {
			if (readMonotonicClock() > end) {
				throw new Error(`condition not met after ${untilTimeoutMs} ms: ${condition.toString()}`);
			}

			await new Promise(resolve => {
				setTimeout(resolve, pollMs);
			});
		}
	}

	/** Whether an entry accepts new connections of callers. */
	async isTakingConnections(entry: string): Promise<boolean> {
		const socket = connect(this.entries.get(entry)!.httpPort, '127.0.0.1');
		try {
			await once(socket, 'connect');
			return true;
		} catch {
			return false;
		} finally {
			socket.destroy();
		}
	}

	/** Returns the ids of the requests that targets have run, in order of the targets. */
	listRuns(): string[] {
		return [...this.targets.values()].flatMap(({runs}) => runs.map(({id}) => id));
	}

	close(): void {
		this.agent.destroy();
		for (const entry of this.entries.values()) {
			void entry.kill();
		}

		for (const target of this.targets.values()) {
			target.close();
		}
	}
}
