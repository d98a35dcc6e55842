import {spawn, type ChildProcess} from 'node:child_process';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {stringify} from 'smol-toml';
import {request} from 'undici';
import {type KeyValue} from '../../src/key-value/key-value.js';
import {type ProcessUsage} from './process-usage.js';

const startTimeoutMs = 15_000;
const pollIntervalMs = 25;

/** Child processes of the system and its stand-ins for one measurement. */
export class ProcessFleet {
	private readonly children: ChildProcess[] = [];
	private readonly folder = mkdtempSync(path.join(tmpdir(), 'wardswitch-bench-'));

	/** @param root - checkout whose build is run, so that an earlier version can be measured as well */
	constructor(private readonly root: string) {}

	/** Starts a binary of the system with the given settings. */
	startBinary(name: 'wardswitch-entry' | 'wardswitch-target', settings: Record<string, unknown> & {readonly id: string}): void {
		const file = path.join(this.folder, `${settings.id}.toml`);
		writeFileSync(file, stringify(settings));
		this.start([path.join(this.root, 'dist/src/bin', `${name}.js`), file]);
	}

	/** Starts a stand-in; kinds and arguments as in stand-ins/main.ts. */
	startStandIn(kind: string, port: number, argument = ''): void {
		this.start([path.join(this.root, 'dist/stand-ins/main.js'), kind, String(port), argument]);
	}

	/** Writes a file for a stand-in and returns its path. */
	writeFile(name: string, text: string): string {
		const file = path.join(this.folder, name);
		writeFileSync(file, text);
		return file;
	}

	/** Waits until a URL answers with status 200; throws after 15 s. */
	async waitFor(url: string): Promise<void> {
		for (let waitedMs = 0; waitedMs < startTimeoutMs; waitedMs += pollIntervalMs) {
			try {
				const answer = await request(url);
				await answer.body.dump();
				if (answer.statusCode === 200) {
					return;
				}
			} catch {}

			await delay(pollIntervalMs);
		}

		throw new Error(`${url} did not answer with status 200 in time`);
	}

	/** Waits until the key-value stand-in answers; throws after 15 s. */
	async waitForKeyValue(keyValue: KeyValue): Promise<void> {
		for (let waitedMs = 0; waitedMs < startTimeoutMs; waitedMs += pollIntervalMs) {
			const answer = await keyValue.get('wardswitch/table/head');
			if (answer.isOk()) {
				return;
			}

			await delay(pollIntervalMs);
		}

		throw new Error('the key-value stand-in did not answer within the timeout');
	}

	/** Reads memory, CPU time and traffic of a process from its metrics. */
	async readUsage(adminPort: number): Promise<ProcessUsage> {
		const answer = await request(`http://127.0.0.1:${adminPort}/metrics`);
		const text = await answer.body.text();
		const read = (name: string): number => text.split('\n')
			.filter(line => line.startsWith(name) && !line.startsWith('#'))
			.reduce((sum, line) => sum + Number(line.slice(line.lastIndexOf(' ') + 1)), 0);
		return {
			residentBytes: read('process_resident_memory_bytes'),
			heapBytes: read('nodejs_heap_size_used_bytes'),
			externalBytes: read('nodejs_external_memory_bytes'),
			cpuSeconds: read('process_cpu_seconds_total'),
			controlCpuSeconds: read('wardswitch_control_cpu_seconds_total'),
			controlBytes: read('wardswitch_link_bytes_total{direction="sent",class="control"}') + read('wardswitch_link_bytes_total{direction="received",class="control"}'),
			platformCalls: read('wardswitch_platform_calls_total'),
		};
	}

	/** Kills all started processes. */
	async close(): Promise<void> {
		for (const child of this.children) {
			child.kill('SIGKILL');
		}

		await delay(pollIntervalMs);
	}

	private start(words: string[]): void {
		this.children.push(spawn(process.execPath, words, {stdio: ['ignore', 'ignore', 'inherit']}));
	}
}
