import {createHash, randomUUID} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {build} from 'hdr-histogram-js';
import {Agent, request} from 'undici';
import {createEtcdKeyValue} from '../src/key-value/create-etcd-key-value.js';
import {applyTable} from '../src/table/apply-table.js';
import {parseTable} from '../src/table/parse-table.js';
import {findFreePorts} from './support/find-free-ports.js';
import {ProcessFleet} from './support/process-fleet.js';
import {report} from './support/report.js';

type LoadOptions = {readonly url: string; readonly requests: number; readonly concurrency: number; readonly stream: boolean; readonly tokens: number};
type RunningPath = {readonly fleet: ProcessFleet; readonly engineUrl: string; readonly pacedUrl: string; readonly entryUrl: string; readonly adminPorts: Readonly<Record<'entry' | 'target', number>>};

const token = 'bench-token';
const linkKey = 'b2'.repeat(32);
/** Time after opening streams before memory is measured, milliseconds. */
const settleMs = 10_000;
/** Requests before each measurement that are not counted. */
const warmUpRequests = 3000;

const startPath = async (root: string): Promise<RunningPath> => {
	const [keyValuePort, listPort, enginePort, pacedPort, httpPort, ...ports] = await findFreePorts(11);
	const fleet = new ProcessFleet(root);
	const [entryLink, entryAdmin, targetLink, targetAdmin, pacedLink, pacedAdmin] = ports;
	const vms = [
		{
			id: 'entry-1', role: 'entry', availabilityZone: 'zone-1', address: '127.0.0.1', linkPort: entryLink, state: 'live',
		},
		{
			id: 'fast-0', role: 'target', availabilityZone: 'zone-1', address: '127.0.0.1', linkPort: targetLink, state: 'live', service: 'fast', kind: 'model',
		},
		{
			id: 'paced-0', role: 'target', availabilityZone: 'zone-1', address: '127.0.0.1', linkPort: pacedLink, state: 'live', service: 'paced', kind: 'model',
		},
	];
	fleet.startStandIn('key-value', keyValuePort);
	fleet.startStandIn('vm-list', listPort, fleet.writeFile('vms.json', JSON.stringify(vms)));
	fleet.startStandIn('engine', enginePort);
	fleet.startStandIn('engine', pacedPort, 'paced');
	await fleet.waitFor(`http://127.0.0.1:${listPort}/`);
	const node = {
		availabilityZone: 'zone-1',
		platform: {keyValue: `http://127.0.0.1:${keyValuePort}`, vmList: `http://127.0.0.1:${listPort}/`},
		link: {key: linkKey},
	};
	const hash = createHash('sha256').update(token).digest('hex');
	const table = parseTable(`service,organisation,group,token_sha256\n*,bench,*,${hash}\n`)._unsafeUnwrap();
	const keyValue = createEtcdKeyValue({url: node.platform.keyValue, timeoutMs: 2000, onCall: () => undefined});
	await fleet.waitForKeyValue(keyValue);
	const applied = await applyTable(keyValue, table, {
		changeId: randomUUID(), operator: 'bench', now: Date.now(), knownVersion: 0,
	});
	applied._unsafeUnwrap();
	const admission = {concurrency: 2000, queueLength: 2000};
	fleet.startBinary('wardswitch-target', {
		...node, id: 'fast-0', linkPort: targetLink, adminPort: targetAdmin, service: 'fast', kind: 'model', url: `http://127.0.0.1:${enginePort}`, admission,
	});
	fleet.startBinary('wardswitch-target', {
		...node, id: 'paced-0', linkPort: pacedLink, adminPort: pacedAdmin, service: 'paced', kind: 'model', url: `http://127.0.0.1:${pacedPort}`, admission,
	});
	await fleet.waitFor(`http://127.0.0.1:${targetAdmin}/readyz`);
	await fleet.waitFor(`http://127.0.0.1:${pacedAdmin}/readyz`);
	fleet.startBinary('wardswitch-entry', {
		...node, id: 'entry-1', linkPort: entryLink, adminPort: entryAdmin, httpPort,
	});
	await fleet.waitFor(`http://127.0.0.1:${entryAdmin}/readyz`);
	await delay(500);
	return {
		fleet, engineUrl: `http://127.0.0.1:${enginePort}`, pacedUrl: `http://127.0.0.1:${pacedPort}`, entryUrl: `http://127.0.0.1:${httpPort}`, adminPorts: {entry: entryAdmin, target: pacedAdmin},
	};
};

const sendOne = async (plan: LoadOptions, dispatcher: Agent, model: string): Promise<void> => {
	const answer = await request(`${plan.url}/v1/chat/completions`, {
		method: 'POST',
		dispatcher,
		headers: {authorization: `Bearer ${token}`, 'content-type': 'application/json'},
		body: JSON.stringify({
			model, stream: plan.stream, max_tokens: plan.tokens, messages: [{role: 'user', content: 'granite'}],
		}),
	});
	const text = await answer.body.text();
	if (answer.statusCode !== 200 || !text.includes(`granite#${plan.tokens - 1}`)) {
		throw new Error(`a request failed with status ${answer.statusCode}: ${text.slice(0, 200)}`);
	}
};

const runLoad = async (plan: LoadOptions): Promise<Record<string, number>> => {
	const dispatcher = new Agent({connections: plan.concurrency});
	const histogram = build({highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3});
	let left = plan.requests + warmUpRequests;
	let startedAt = 0;
	const work = async (): Promise<void> => {
		while (left > 0) {
			const isMeasured = left <= plan.requests;
			left--;
			const before = performance.now();
			startedAt ||= isMeasured ? before : 0;
			await sendOne(plan, dispatcher, 'fast');
			if (isMeasured) {
				histogram.recordValue(Math.round((performance.now() - before) * 1000));
			}
		}
	};

	await Promise.all(Array.from({length: plan.concurrency}, work));
	const seconds = (performance.now() - startedAt) / 1000;
	await dispatcher.close();
	return {p50Ms: histogram.getValueAtPercentile(50) / 1000, p99Ms: histogram.getValueAtPercentile(99) / 1000, requestsPerSecond: plan.requests / seconds};
};

const measureStreams = async (path: RunningPath, counts: readonly number[]): Promise<Array<Record<string, number | string>>> => {
	const cases = [];
	const dispatcher = new Agent({connections: 2000});
	const aborts: AbortController[] = [];
	for (const count of counts) {
		const opening = Array.from({length: count - aborts.length}, async () => {
			const abort = new AbortController();
			aborts.push(abort);
			const answer = await request(`${path.entryUrl}/v1/chat/completions`, {
				method: 'POST',
				dispatcher,
				signal: abort.signal,
				headers: {authorization: `Bearer ${token}`},
				body: JSON.stringify({
					model: 'paced', stream: true, max_tokens: 100_000, messages: [{role: 'user', content: 'x'}],
				}),
			});
			answer.body.on('error', () => undefined).resume();
		});
		await Promise.all(opening);

		await delay(settleMs);
		const [entry, target] = await Promise.all([path.fleet.readUsage(path.adminPorts.entry), path.fleet.readUsage(path.adminPorts.target)]);
		cases.push({
			case: `${count} open streams`,
			entryMegabytes: entry.residentBytes / 1e6,
			entryHeapMegabytes: entry.heapBytes / 1e6,
			entryExternalMegabytes: entry.externalBytes / 1e6,
			targetMegabytes: target.residentBytes / 1e6,
			targetHeapMegabytes: target.heapBytes / 1e6,
			targetExternalMegabytes: target.externalBytes / 1e6,
		});
	}

	for (const abort of aborts) {
		abort.abort();
	}

	return cases;
};

/**
 * Measures the latency that entry and target add compared with calling the engine directly. `--baseline DIR` also measures the
 * build in DIR; `--streams-only` measures only the memory of open streams.
 */
export async function benchPath(args: readonly string[]): Promise<void> {
	const baselineIndex = args.indexOf('--baseline');
	const roots = [{name: 'now', root: process.cwd()}];
	if (baselineIndex !== -1) {
		roots.push({name: 'baseline', root: args[baselineIndex + 1]});
	}

	const cases = [];
	for (const {name, root} of roots) {
		const path = await startPath(root);
		for (const stream of args.includes('--streams-only') ? [] : [false, true]) {
			for (const [concurrency, requests] of [[1, 2000], [64, 6000]]) {
				const shared = {
					requests, concurrency, stream, tokens: stream ? 32 : 1,
				};
				const direct = await runLoad({url: path.engineUrl, ...shared});
				const through = await runLoad({url: path.entryUrl, ...shared});
				const kind = `${stream ? 'stream of 32' : 'one piece'}, ${concurrency} at once`;
				cases.push({build: name, case: `${kind}, direct`, ...direct}, {
					build: name, case: `${kind}, through`, ...through, addedP50Ms: through.p50Ms - direct.p50Ms, addedP99Ms: through.p99Ms - direct.p99Ms,
				});
			}
		}

		if (name === 'now') {
			cases.push(...await measureStreams(path, [1, 250, 500, 1000]));
		}

		await path.fleet.close();
	}

	report('path', cases);
}
