/*
 * The store is down for some seconds and is back. It has been stable again for its settle window when a worker's entry is removed.
 * Entries may send this worker nothing later than `drainMs` after the removal.
 */
import {readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {Caller} from '../stand-ins/caller.js';
import {bounds, isReady, makeEntries} from '../stand-ins/platform.js';
import {Programs} from '../stand-ins/programs.js';
import {Record} from '../stand-ins/record.js';
import {Store} from '../stand-ins/store.js';
import {Worker} from '../stand-ins/worker.js';

const hasTrouble = process.env.TROUBLE !== '0';
const entryCount = 2;
const downMs = 4500;
const heartbeatMs = 1200;
const requestMs = 5;
/** Time that a worker takes for a request, milliseconds. */
const workMs = 60;

const record = new Record(path.join(import.meta.dirname, 'record.txt'));
const store = new Store();
const programs = new Programs();
const [staying, leaving] = ['i-staying', 'i-leaving'].map(id => new Worker({
	id, service: 'yard-dispatch', slots: 12, workMs,
}));
const pending = [];
const state = {isOver: false};
let beats = 0;

const beat = worker => {
	beats++;
	store.put(`servers/${worker.id}`, worker.describe(beats));
};

/* Workers write about every `heartbeatMs`, one after the other. */
const keepBeating = workers => {
	let number = 0;
	const timer = setInterval(() => {
		number++;
		beat(workers[number % workers.length]);
	}, heartbeatMs / workers.length);
	return () => {
		clearInterval(timer);
	};
};

const sendAll = async callers => {
	for (let number = 0; !state.isOver; number++) {
		pending.push(callers[number % callers.length].send({path: '/order/800', isQuiet: true}));
		await delay(requestMs);
	}
};

/* Calls that arrive while the store is down are never answered. It is back just after such a call. */
const interruptStore = async () => {
	record.note('store: is down, and silent');
	store.mode = 'silent';
	await delay(downMs);
	await new Promise(resolve => {
		store.onCall = called => {
			if (called === '/v1/kv-watch') {
				store.onCall = () => undefined;
				setTimeout(resolve, 5);
			}
		};
	});
	store.mode = 'up';
	record.note('store: is back');
};

/* One line for each request: when it was sent, where and when it ran, and when and with what it was answered. */
const noteAll = ended => {
	const runs = new Map([staying, leaving].flatMap(worker => worker.arrivals.map(({id, at}) => [id, {at, worker: worker.id}])));
	for (const {id, sentAt, endedAt, status, error, isWhole} of ended) {
		const run = runs.get(id);
		const where = run ? `run by ${run.worker} ${(run.at - sentAt).toFixed(1)} ms later` : 'not run';
		record.noteAt(sentAt, `${id}: sent, ${where}, answered ${status ?? error}${isWhole ? '' : ', not whole,'} after ${(endedAt - sentAt).toFixed(1)} ms`);
	}
};

const run = async callers => {
	let stopBeating = keepBeating([staying, leaving]);
	void sendAll(callers); // eslint-disable-line no-void
	await delay(3000);
	stopBeating();
	if (hasTrouble) {
		await interruptStore();
	}

	const backAt = performance.now();
	await delay(heartbeatMs / 2);
	beat(staying);
	await delay(heartbeatMs / 2);
	beat(leaving);
	await delay(heartbeatMs / 2);
	beat(staying);
	await delay(heartbeatMs / 2);
	beat(leaving);
	await delay(bounds.settleWindowMs + 20 - (performance.now() - backAt));
	beat(staying);
	await delay(4);
	store.remove(`servers/${leaving.id}`);
	const removedAt = performance.now();
	record.note(`store: the entry of ${leaving.id} is removed, ${Math.round(removedAt - backAt)} ms after the store was back`);
	stopBeating = keepBeating([staying]);
	await delay(bounds.drainMs - (performance.now() - removedAt));
	// The worker has served for `drainMs`, and ends with the last of the requests that have arrived meanwhile.
	await leaving.exit(removedAt + bounds.drainMs);
	record.note(`${leaving.id}: exits ${Math.round(performance.now() - removedAt)} ms after its entry was removed`);
	await delay(500);
	stopBeating();
	state.isOver = true;
	const ended = await Promise.all(pending);
	const answers = new Map(ended.map(answer => [answer.id, answer]));
	noteAll(ended);
	const late = leaving.arrivals.filter(({at}) => at > removedAt + bounds.drainMs);
	record.note(`clients: ${ended.length} requests, ${ended.filter(({status, isWhole}) => status === 200 && isWhole).length} answered with 200`);
	record.note(`${leaving.id}: ${leaving.arrivals.length} requests in all`);
	for (const {id, at} of late) {
		const {status, error} = answers.get(id);
		record.note(`${leaving.id}: ${id} arrives ${(at - removedAt).toFixed(1)} ms after the entry was removed and begins to run; its client gets ${status ?? error}`);
	}

	return late;
};

let exitCode = 2;
try {
	await store.start();
	await staying.start();
	await leaving.start();
	store.put('op/config', JSON.parse(readFileSync(path.join(import.meta.dirname, 'config.json'), 'utf8')));
	beat(staying);
	beat(leaving);
	const entries = await makeEntries(entryCount, store);
	for (const entry of entries) {
		programs.start(entry.nodeName, 'entry', entry);
	}

	for (const entry of entries) {
		for (let tries = 0; tries < 150 && !await isReady(entry); tries++) {
			await delay(100);
		}
	}

	const callers = entries.map(({port, nodeName}) => new Caller({
		host: '127.0.0.1', port, record, name: nodeName,
	}));
	const late = await run(callers);
	for (const caller of callers) {
		caller.close();
	}

	exitCode = late.length > 0 ? 10 : 0;
	record.end(late.length > 0 ? `DRAIN is broken: ${late.length} requests reached the worker later than ${bounds.drainMs} ms after its entry was removed` : 'DRAIN held');
} catch (error) {
	record.end(`could not run: ${error.stack}`);
} finally {
	await programs.close();
	staying.close();
	leaving.close();
	store.close();
}

process.exitCode = exitCode;
