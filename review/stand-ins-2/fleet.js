// A small deployment on loopback: the platform's store (the project's own stand-in), its operator and workers, and real entry processes,
// started with the command and the settings template of the deploy file.
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer, get} from 'node:http';
import {createServer as createTcpServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {parse} from 'smol-toml';
import {startStore} from '../../dist/platform/stand-ins/start-store.js';

const loopback = '127.0.0.1';
/** `heartbeatMs` of the site ledgeline. */
const heartbeatMs = 1200;
/** `graceS` of the site ledgeline. */
const graceS = 8;

/** Bounds of the site ledgeline that are rendered into the settings. */
const bounds = {
	'bounds.retryBudgetRatio': '0.2', 'bounds.retryBudgetSlack': '90', 'bounds.budgetWindowS': '10', 'bounds.graceS': String(graceS),
};

/** Finds ports that are free now. */
export async function findPorts(count) {
	const servers = Array.from({length: count}, () => createTcpServer());
	for (const server of servers) {
		server.listen(0, loopback);
		await once(server, 'listening');
	}

	const ports = servers.map(server => server.address().port);
	for (const server of servers) {
		server.close();
	}

	return ports;
}

/** Reads the whole body of a request; returns its length in bytes. */
export async function drainBody(request) {
	let bytes = 0;
	for await (const chunk of request) {
		bytes += chunk.length;
	}

	return bytes;
}

/** Starts the deployment; `routes` and `services` as the operator writes them, `entries` is the number of entry processes. */
export async function startFleet({routes, services, tenants, limits, entries = 1, recordFile = 'record.txt'}) {
	const directory = mkdtempSync(path.join(tmpdir(), 'wardswitch-case-'));
	const recordStream = createWriteStream(recordFile);
	const startedAt = performance.now();
	const record = text => {
		// Processes that `stop` has ended report after the end of the record.
		if (recordStream.writableEnded) {
			return;
		}

		recordStream.write(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}\n`);
	};

	const store = await startStore();
	store.isWaiting = true;
	let version = 0;
	const writeConfiguration = (change = {}) => {
		version += 3;
		store.put('op/config', {
			version,
			routes,
			services,
			...(tenants && {tenants}),
			limits: {
				maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 5000, idleTimeoutMs: 10_000, ...limits,
			},
			...change,
		});
		record(`operator: configuration ${version} acknowledged`);
		return version;
	};

	writeConfiguration();

	const workers = [];
	/* A worker: registered in the store, renews its entry, and answers with `serve(request, response)`. */
	const startWorker = async ({id, service, slots = 6, serve, state = 'ready'}) => {
		const server = createServer((request, response) => {
			if (request.headers['wardswitch-expect-instance'] !== undefined && request.headers['wardswitch-expect-instance'] !== id) {
				response.writeHead(421, {
					'wardswitch-request-id': request.headers['wardswitch-request-id'] ?? '', 'wardswitch-instance-id': id, 'wardswitch-not-executed': '1',
				}).end();
				return;
			}

			serve(request, response);
		});
		server.keepAliveTimeout = 5000;
		server.listen(0, loopback);
		await once(server, 'listening');
		const {port} = server.address();
		const worker = {id, state, sequence: 0};
		const register = () => {
			// A store that is down takes no writes; the entries that it holds stay.
			if (store.fault !== 'none') {
				return;
			}

			worker.sequence++;
			store.put(`servers/${id}`, {
				service, address: `${loopback}:${port}`, zone: 'barre-hall', version: '1', slots, state: worker.state, coldLeftMs: 0, sequence: worker.sequence,
			});
		};

		register();
		worker.register = register;
		worker.timer = setInterval(register, heartbeatMs);
		worker.close = () => {
			clearInterval(worker.timer);
			server.close();
			server.closeAllConnections();
		};

		workers.push(worker);
		return worker;
	};

	const command = parse(readFileSync('deploy/system.toml', 'utf8')).roles.entry.run.split(' ');
	const template = readFileSync('deploy/entry.toml.template', 'utf8');
	const started = [];
	const startEntry = async (number, ports, seeds) => {
		const [front, ready, link, metrics] = ports;
		const values = {
			...bounds,
			nodeName: `front-barre-hall-${number}`,
			zone: 'barre-hall',
			'listen.front': `${loopback}:${front}`,
			'listen.ready': `${loopback}:${ready}`,
			'internalPorts.0': String(link),
			'seeds|json': JSON.stringify(seeds),
			'platform.address': store.address,
		};
		const text = template.replaceAll(/\{\{(?<name>[^\}]+)\}\}/gv, (_all, name) => values[name])
			// All processes share one address here, so each has its own port for its metrics.
			.replace(/^metricsPort = .*$/mv, `metricsPort = ${metrics}`);
		const file = path.join(directory, `entry-${number}.toml`);
		writeFileSync(file, text);
		const [program, ...parameters] = command;
		const child = spawn(program, parameters, {env: {PATH: process.env.PATH, WARDSWITCH_BOOT: file}, stdio: ['ignore', 'pipe', 'pipe']});
		const log = createWriteStream(path.join(directory, `entry-${number}.log`));
		child.stdout.pipe(log);
		child.stderr.pipe(log);
		const entry = {
			number, front, ready, child, exit: undefined, logFile: path.join(directory, `entry-${number}.log`),
		};
		child.once('exit', (code, signal) => {
			entry.exit = {code, signal};
			record(`entry ${number} ended: code ${code}, signal ${signal}`);
		});
		started.push(entry);
		return entry;
	};

	const isReady = async entry => new Promise(resolve => {
		get({
			host: loopback, port: entry.ready, path: '/v1/ready', agent: false,
		}, answer => {
			answer.resume();
			resolve(answer.statusCode === 200);
		}).once('error', () => {
			resolve(false);
		});
	});
	const waitReady = async (entry, limitMs = 15_000) => {
		const until = performance.now() + limitMs;
		while (!(await isReady(entry))) {
			if (performance.now() > until || entry.exit) {
				throw new Error(`entry ${entry.number} did not become ready`);
			}

			await delay(100);
		}

		record(`entry ${entry.number} is ready`);
	};

	const stop = () => {
		for (const {child, exit} of started) {
			if (!exit) {
				child.kill('SIGKILL');
			}
		}

		for (const worker of workers) {
			worker.close();
		}

		store.close();
		recordStream.end();
		if (process.env.KEEP === undefined) {
			rmSync(directory, {recursive: true, force: true});
		}
	};

	process.once('SIGTERM', () => {
		record('case could not run: it took too long');
		stop();
		process.exit(2);
	});
	const ports = await findPorts(4 * entries);
	const startEntries = async () => {
		const links = Array.from({length: entries}, (_empty, index) => `${loopback}:${ports[(4 * index) + 2]}`);
		for (let index = 0; index < entries; index++) {
			await startEntry(index + 1, ports.slice(4 * index, 4 * (index + 1)), links);
		}

		await Promise.all(started.map(async entry => waitReady(entry)));
	};

	return {
		store, record, writeConfiguration, startWorker, startEntry, startEntries, waitReady, isReady, stop, entries: started, directory,
	};
}
