import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {performance} from 'node:perf_hooks';
import {build} from 'hdr-histogram-js';
import {Agent, request} from 'undici';
import {type Target} from '../src/fleet/target.js';
import {report} from './support/report.js';

type Usage = {readonly rss: number; readonly cpu: {readonly user: number; readonly system: number}};
type Case = {readonly name: string; readonly path: string; readonly requests: number; readonly concurrency: number};

const cases: readonly Case[] = [
	{
		name: 'one piece', path: '/read/1', requests: 6000, concurrency: 4,
	},
	{
		name: 'stream of 6 events', path: '/stream/1', requests: 6000, concurrency: 4,
	},
];
/** Requests before each measurement that are not counted. */
const warmUpRequests = 1500;

const startChild = async (...words: string[]): Promise<[ChildProcess, unknown]> => {
	const child = fork(new URL('support/forward-child.js', import.meta.url), words, {stdio: ['ignore', 'ignore', 'inherit', 'ipc']});
	const [message] = await once(child, 'message') as [unknown];
	return [child, message];
};

const getUsage = async (child: ChildProcess): Promise<Usage> => {
	child.send('usage');
	const [usage] = await once(child, 'message') as [Usage];
	return usage;
};

const runLoad = async (port: number, {path, concurrency}: Case, requests: number) => {
	const agent = new Agent({connections: concurrency});
	const histogram = build();
	let sent = 0;
	let failed = 0;
	const work = async (): Promise<void> => {
		while (sent < requests) {
			sent++;
			const startedAt = performance.now();
			const answer = await request(`http://127.0.0.1:${port}${path}`, {
				dispatcher: agent, headers: {
					host: 'desk.example', 'x-request': `r-${sent}`, 'x-target': 'target-1', 'x-deadline': '10000',
				},
			});
			await answer.body.text();
			failed += answer.statusCode === 200 ? 0 : 1;
			histogram.recordValue(Math.round((performance.now() - startedAt) * 1000));
		}
	};

	await Promise.all(Array.from({length: concurrency}, work));
	await agent.close();
	return {p50: histogram.getValueAtPercentile(50) / 1000, p99: histogram.getValueAtPercentile(99) / 1000, failed};
};

/** Measures the latency that forwarding adds compared with direct calls to the stand-in target, and the entry's CPU time and memory. */
export async function benchForward(): Promise<void> {
	const [target, registration] = await startChild('target');
	const [entry, port] = await startChild('entry', JSON.stringify(registration));
	const before = await getUsage(entry);
	const figures: Array<Record<string, string | number>> = [];
	for (const testCase of cases) {
		const directPort = (registration as Target).port;
		await runLoad(directPort, testCase, warmUpRequests);
		await runLoad(port as number, testCase, warmUpRequests);
		const direct = await runLoad(directPort, testCase, testCase.requests);
		const from = await getUsage(entry);
		const forwarded = await runLoad(port as number, testCase, testCase.requests);
		const to = await getUsage(entry);
		const cpuMs = (to.cpu.user + to.cpu.system - from.cpu.user - from.cpu.system) / 1000 / testCase.requests;
		figures.push({
			case: testCase.name,
			directP50Ms: direct.p50,
			forwardedP50Ms: forwarded.p50,
			addedP50Ms: Number((forwarded.p50 - direct.p50).toFixed(3)),
			directP99Ms: direct.p99,
			forwardedP99Ms: forwarded.p99,
			entryCpuMs: Number(cpuMs.toFixed(3)),
			failed: direct.failed + forwarded.failed,
		});
	}

	const after = await getUsage(entry);
	report('forward', figures);
	report('forward memory', [{case: 'entry', startedMb: Math.round(before.rss / 1e6), loadedMb: Math.round(after.rss / 1e6)}]);
	entry.kill();
	target.kill();
}
