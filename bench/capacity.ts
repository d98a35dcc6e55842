import {randomUUID} from 'node:crypto';
import {writeFileSync} from 'node:fs';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {connectLink} from '../src/link/connect-link.js';
import {encodeFrame} from '../src/link/encode-frame.js';
import {type LinkConnection} from '../src/link/link-connection.js';
import {type LinkMessage} from '../src/link/link-message.js';
import {listenForLinks} from '../src/link/listen-for-links.js';
import {generateTrace} from '../src/maps/generate-trace.js';
import {makePolicy} from '../src/maps/make-policy.js';
import {replayTrace} from '../src/maps/replay-trace.js';
import {summarizeReplay} from '../src/maps/summarize-replay.js';
import {Membership} from '../src/membership/membership.js';
import {type Vm} from '../src/vm-list/vm.js';
import {RecordTable} from '../src/target/record-table.js';
import {MemoryBudget} from '../src/memory/memory-budget.js';
import {Execution} from '../src/target/execution.js';
import {encodePages} from '../src/table/encode-pages.js';
import {Row} from '../src/table/row.js';
import {TableSnapshot} from '../src/table/table-snapshot.js';
import {createEtcdKeyValue} from '../src/key-value/create-etcd-key-value.js';
import {applyTable} from '../src/table/apply-table.js';
import {parseTable} from '../src/table/parse-table.js';
import {type CapacityFigure} from './support/capacity-figure.js';
import {findFreePorts} from './support/find-free-ports.js';
import {ProcessFleet} from './support/process-fleet.js';
import {report} from './support/report.js';

const linkKey = 'c3'.repeat(32);
const runCount = 3;
/** Time after the start during which V8 still compiles code and collects garbage, milliseconds. */
const warmUpMs = 12_000;
const resultFile = 'docs/capacity-figures.json';

type Sample = Readonly<Record<string, number>>;

/* Heap bytes per item of what `make` returns, from the difference between two sizes. */
const measureHeap = (make: (count: number) => unknown, small: number, large: number): number => {
	const measure = (count: number): number => {
		globalThis.gc!();
		const before = process.memoryUsage().heapUsed;
		const kept = make(count);
		globalThis.gc!();
		const after = process.memoryUsage().heapUsed;
		return kept === undefined ? 0 : after - before;
	};

	measure(small);
	return (measure(large) - measure(small)) / (large - small);
};

const makeRows = (organisations: number): Row[] => Array.from({length: organisations * 4}, (_, index) => Row.parse({
	service: `service-${index % 4}`,
	organisation: `organisation-${Math.floor(index / 4)}`,
	group: '*',
	concurrency: 10,
	requestsPerSecond: 5,
	tokenHashes: index % 4 === 0 ? [index.toString(16).padStart(64, '0')] : [],
}));

const makeSnapshot = (organisations: number): TableSnapshot => {
	const pages = encodePages(makeRows(organisations));
	return new TableSnapshot({
		version: 1, changeId: 'x', recent: [], at: 0, operator: 'x', pages: pages.map(({hash}) => hash),
	}, new Map(pages.map(page => [page.hash, page])));
};

const makeVms = (entries: number): Vm[] => Array.from({length: entries}, (_, index) => ({
	id: `entry-${index}`, role: 'entry', availabilityZone: `zone-${index % 7}`, region: 'default', address: '127.0.0.1', linkPort: 1, state: 'live',
}));

const measureTable = (): Sample => {
	const organisations = 6700;
	const startedAt = performance.now();
	const snapshot = makeSnapshot(organisations);
	const buildMs = performance.now() - startedAt;
	const stored = [...snapshot.pages.values()];
	const lookups = 200_000;
	const before = performance.now();
	for (let index = 0; index < lookups; index++) {
		snapshot.findRow(`service-${index % 4}`, `organisation-${index % organisations}`, '*');
	}

	return {
		'table: heap bytes per organisation of 4 rows': measureHeap(makeSnapshot, 500, 3500),
		'table: stored bytes per organisation of 4 rows': stored.reduce((sum, {text}) => sum + text.length, 0) / organisations,
		'table: largest stored page, bytes, at 6700 organisations': Math.max(...stored.map(({text}) => text.length)),
		'table: milliseconds to encode and index 6700 organisations': buildMs,
		'table: microseconds per look-up': ((performance.now() - before) * 1000) / lookups,
	};
};

const measureMembership = (): Sample => {
	const make = (entries: number): Membership => {
		const membership = new Membership({id: 'self', availabilityZone: 'zone-0', incarnation: 'a'});
		membership.noteList(makeVms(entries), 0);
		return membership;
	};

	const membership = make(360);
	const heartbeat = {
		type: 'heartbeat', id: 'entry-0', incarnation: 'b'.repeat(18), counter: 100_000, tableVersion: 5000, changeId: randomUUID(),
		peers: Array.from({length: 4}, (_, index) => ({id: `entry-${index}`, incarnation: 'b'.repeat(18), counter: 100_000})),
	} satisfies LinkMessage;
	for (let index = 0; index < 360; index++) {
		membership.receiveHeartbeat({...heartbeat, id: `entry-${index}`}, 0);
	}

	const rounds = 300;
	const before = process.cpuUsage();
	for (let index = 0; index < rounds; index++) {
		membership.pickHeartbeatReceivers(index);
		membership.makeHeartbeat({tableVersion: 1, changeId: 'x'}, Math.random, index);
		for (let heard = 0; heard < 2; heard++) {
			membership.receiveHeartbeat(heartbeat, index);
		}
	}

	const spent = process.cpuUsage(before);
	return {
		'membership: heap bytes per known entry': measureHeap(make, 200, 2000),
		'membership: microseconds of CPU per heartbeat round at 360 entries (2 heard)': (spent.user + spent.system) / rounds,
		'membership: bytes of one heartbeat': encodeFrame(heartbeat).length,
	};
};

const requestBase = {
	type: 'request',
	attempt: 1,
	method: 'POST',
	path: '/tickets',
	headers: {},
	body: new Uint8Array(),
	organisation: 'organisation',
	weight: 1,
	urgency: 3,
	timeoutMs: 1000,
	mayWait: true,
	tableVersion: 1,
} as const;

/* Adds a complete small answer, as a target keeps it to replay it for a duplicate of its request. */
const fillAnswer = (execution: Execution): void => {
	execution.addPart({
		type: 'head', status: 200, headers: {'content-type': 'application/json'}, tableVersion: 1,
	}, 0);
	execution.addPart({type: 'data', chunk: new Uint8Array(512)}, 0);
	execution.addPart({type: 'end'}, 0);
};

const measureRecords = (): Sample => {
	const make = (count: number): RecordTable => {
		const budget = new MemoryBudget(Number.MAX_SAFE_INTEGER);
		const records = new RecordTable({maximum: 1_000_000, minimumAgeMs: 600_000});
		for (let index = 0; index < count; index++) {
			const id = randomUUID();
			const execution = new Execution({
				replayBytes: 262_144, budget, arrivedAt: 0,
				request: {
					...requestBase, id,
					once: {
						key: `wardswitch/claims/service/organisation/${id}`, owner: id, incarnation: 'x', expiresAt: 0,
					},
				},
			});
			fillAnswer(execution);
			records.add(execution);
			records.noteEnd(execution, 0);
		}

		return records;
	};

	return {'target: heap bytes per remembered request with an answer of 512 bytes': measureHeap(make, 500, 5500)};
};

const measurePlanner = (): Sample => {
	const sample: Record<string, number> = {};
	for (const [ranks, slots, layers] of [[8, 10, 58], [64, 2, 29], [64, 2, 58]]) {
		const shape = {
			layers, experts: 64, ranks, slots,
		};
		const trace = generateTrace({
			kind: 'burst', seed: 2, intervals: 20, layers, experts: 64, zipf: 0.8,
		});
		const intervals = replayTrace({
			trace, shape, policy: makePolicy('incremental', shape, {skew: 10, move: 1}), clock: () => performance.now(),
		});
		sample[`planner: milliseconds of one plan, p50, ${ranks} ranks x ${slots} slots x ${layers} layers`] = summarizeReplay(intervals).planningP50Ms;
	}

	return sample;
};

/* Memory of a link after garbage collection. Both ends are in this process, so one end accounts for half of the growth. */
const measureLinks = async (): Promise<Sample> => {
	const listener = await listenForLinks({
		address: '127.0.0.1', port: 0, key: linkKey, maximumFrameBytes: 1_000_000, meter: () => undefined, onConnection: () => undefined, onRejection: () => undefined,
	});
	const links: LinkConnection[] = [];
	const measureWithLinks = async (count: number): Promise<number> => {
		while (links.length < count) {
			links.push(await connectLink({
				address: '127.0.0.1', port: listener.port, key: linkKey, maximumFrameBytes: 1_000_000, timeoutMs: 5000, meter: () => undefined,
			}));
		}

		await delay(200);
		globalThis.gc!();
		const {heapUsed, external} = process.memoryUsage();
		return heapUsed + external;
	};

	const bytesWithFew = await measureWithLinks(50);
	const residentBefore = process.memoryUsage().rss;
	const bytesWithMany = await measureWithLinks(350);
	const residentAfter = process.memoryUsage().rss;
	await listener.close();
	return {
		'link: heap and buffer kilobytes of one end': (bytesWithMany - bytesWithFew) / 300 / 2 / 1e3,
		'link: resident kilobytes of one end': (residentAfter - residentBefore) / 300 / 2 / 1e3,
	};
};

/* Cost of control work in idle processes of one zone, without requests. */
const measureFleet = async (entries: number, targets: number, seconds: number): Promise<Sample> => {
	const ports = await findFreePorts(2 + (3 * entries) + (2 * targets));
	const [keyValuePort, listPort] = ports;
	const fleet = new ProcessFleet(process.cwd());
	const node = {
		availabilityZone: 'zone-1',
		platform: {keyValue: `http://127.0.0.1:${keyValuePort}`, vmList: `http://127.0.0.1:${listPort}/`},
		link: {key: linkKey},
	};
	const vms: Array<Record<string, unknown>> = [];
	const admins: number[] = [];
	const starts: Array<() => void> = [];
	let next = 2;
	for (let index = 0; index < targets; index++) {
		const [linkPort, adminPort] = ports.slice(next, next += 2);
		vms.push({
			id: `target-${index}`, role: 'target', availabilityZone: 'zone-1', address: '127.0.0.1', linkPort, state: 'live', service: 'service', kind: 'plain',
		});
		starts.push(() => {
			fleet.startBinary('wardswitch-target', {
				...node, id: `target-${index}`, linkPort, adminPort, service: 'service', kind: 'plain', url: `http://127.0.0.1:${keyValuePort}`,
			});
		});
		admins.push(adminPort);
	}

	for (let index = 0; index < entries; index++) {
		const [linkPort, adminPort, httpPort] = ports.slice(next, next += 3);
		vms.push({
			id: `entry-${index}`, role: 'entry', availabilityZone: 'zone-1', address: '127.0.0.1', linkPort, state: 'live',
		});
		starts.push(() => {
			fleet.startBinary('wardswitch-entry', {
				...node, id: `entry-${index}`, linkPort, adminPort, httpPort,
			});
		});
		admins.push(adminPort);
	}

	fleet.startStandIn('key-value', keyValuePort);
	fleet.startStandIn('vm-list', listPort, fleet.writeFile('vms.json', JSON.stringify(vms)));
	await fleet.waitFor(`http://127.0.0.1:${listPort}/`);
	const keyValue = createEtcdKeyValue({url: node.platform.keyValue, timeoutMs: 2000, onCall: () => undefined});
	await fleet.waitForKeyValue(keyValue);
	const applied = await applyTable(keyValue, parseTable('service,organisation,group\n*,x,*\n')._unsafeUnwrap(), {
		changeId: randomUUID(), operator: 'bench', now: Date.now(), knownVersion: 0,
	});
	applied._unsafeUnwrap();
	for (const start of starts) {
		start();
	}

	for (const adminPort of admins) {
		await fleet.waitFor(`http://127.0.0.1:${adminPort}/readyz`);
	}

	await delay(warmUpMs);
	const before = await Promise.all(admins.map(async port => fleet.readUsage(port)));
	await delay(seconds * 1000);
	const after = await Promise.all(admins.map(async port => fleet.readUsage(port)));
	await fleet.close();
	const mean = (from: number, to: number, read: (index: number) => number): number => {
		let sum = 0;
		for (let index = from; index < to; index++) {
			sum += read(index);
		}

		return sum / (to - from);
	};

	const perSecond = (field: 'cpuSeconds' | 'controlBytes' | 'controlCpuSeconds' | 'platformCalls') => (index: number): number => (after[index][field] - before[index][field]) / seconds;
	const all = targets + entries;
	return {
		entryCpu: mean(targets, all, perSecond('cpuSeconds')),
		entryControlCpu: mean(targets, all, perSecond('controlCpuSeconds')),
		entryControlBytes: mean(targets, all, perSecond('controlBytes')),
		entryPlatformCalls: mean(targets, all, perSecond('platformCalls')),
		entryResident: mean(targets, all, index => after[index].residentBytes),
		entryHeap: mean(targets, all, index => after[index].heapBytes),
		targetCpu: mean(0, targets, perSecond('cpuSeconds')),
		targetControlBytes: mean(0, targets, perSecond('controlBytes')),
		targetResident: mean(0, targets, index => after[index].residentBytes),
		targetHeap: mean(0, targets, index => after[index].heapBytes),
	};
};

const measureGrowth = async (seconds: number): Promise<Sample> => {
	const base = await measureFleet(2, 2, seconds);
	const moreEntries = await measureFleet(8, 2, seconds);
	const moreTargets = await measureFleet(2, 20, seconds);
	return {
		'entry: share of a core, idle, 2 entries and 2 targets': base.entryCpu,
		'entry: share of a core in control work, 8 entries and 2 targets': moreEntries.entryControlCpu,
		'entry: share of a core in control work, 2 entries and 20 targets': moreTargets.entryControlCpu,
		'entry: control bytes/s, 2 entries and 2 targets': base.entryControlBytes,
		'entry: control bytes/s, 8 entries and 2 targets': moreEntries.entryControlBytes,
		'entry: control bytes/s, 2 entries and 20 targets': moreTargets.entryControlBytes,
		'entry: platform calls/s, 2 entries in a zone': base.entryPlatformCalls,
		'entry: platform calls/s, 8 entries in a zone': moreEntries.entryPlatformCalls,
		'entry: resident megabytes, 2 entries and 2 targets': base.entryResident / 1e6,
		'entry: heap megabytes, 2 entries and 2 targets': base.entryHeap / 1e6,
		'target: share of a core, idle, 2 entries': base.targetCpu,
		'target: control bytes/s, 2 entries': base.targetControlBytes,
		'target: control bytes/s, 8 entries': moreEntries.targetControlBytes,
		'target: resident megabytes, 2 entries': base.targetResident / 1e6,
		'target: heap megabytes, 2 entries': base.targetHeap / 1e6,
	};
};

/**
 * Measures the figures that docs/CAPACITY.md extrapolates from, in three runs, and writes them to docs/capacity-figures.json.
 * `--seconds N` sets the time of each fleet measurement.
 */
export async function benchCapacity(args: readonly string[]): Promise<void> {
	const seconds = args.includes('--seconds') ? Number(args[args.indexOf('--seconds') + 1]) : 20;
	const samples: Sample[] = [];
	for (let run = 0; run < runCount; run++) {
		samples.push({
			...measureTable(), ...measureMembership(), ...measureRecords(), ...measurePlanner(), ...await measureLinks(), ...await measureGrowth(seconds),
		});
	}

	const figures: CapacityFigure[] = Object.keys(samples[0]).map(name => {
		const values = samples.map(sample => sample[name]).toSorted((one, other) => one - other);
		const round = (value: number): number => Number(value.toPrecision(3));
		return {
			name, median: round(values[1]), least: round(values[0]), greatest: round(values[2]),
		};
	});
	writeFileSync(resultFile, `${JSON.stringify(figures, undefined, '\t')}\n`);
	report('capacity', figures);
}
