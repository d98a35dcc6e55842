// Workers preempt their newest stream for a while, as they do when their memory runs out, while an entry makes its planned stop.
import {Agent, request} from 'node:http';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {drainBody, startFleet} from '../stand-ins-2/fleet.js';

const hasTrouble = process.env.TROUBLE !== '0';
const eventsPerStream = 28;
const eventMs = 60;
/** How long a preempted stream waits for memory and is read again: less than the two seconds for which clients wait. */
const preemptedMs = 1200;
/** The event after which a marked stream is preempted at each worker, counted from where the worker began. */
const eventsBeforePreemption = 4;
const deadlineMs = 8000;
const background = 12;

const fleet = await startFleet({
	routes: [{
		name: 'r1',
		host: 'desk.example',
		prefix: '/draft/',
		kind: 'stream',
		timeoutMs: deadlineMs,
		targetLatencyMs: 401,
		targetGapMs: 120,
		maxAttempts: 2,
		service: 'model',
		priority: 1,
		sticky: true,
		resumable: true,
	}],
	services: [{name: 'model', maxConnections: 348}],
	recordFile: process.argv[2],
});
const {record} = fleet;
/* Ids of the requests that the workers preempt. */
const preempted = new Set();

const makeWorker = id => ({
	id,
	service: 'model',
	slots: 8,
	async serve(incoming, response) {
		await drainBody(incoming);
		const requestId = incoming.headers['wardswitch-request-id'];
		const first = Number(incoming.headers['last-event-id'] ?? 0) + 1;
		record(`worker ${id}: runs ${requestId} from event ${first}`);
		response.once('close', () => {
			if (!response.writableFinished) {
				record(`worker ${id}: the connection of ${requestId} was closed while it was at work`);
			}
		});
		await delay(100);
		response.writeHead(200, {'content-type': 'text/event-stream', 'wardswitch-request-id': requestId, 'wardswitch-server-signature': `s.${id}.${requestId}`});
		for (let event = first; event <= eventsPerStream && !response.destroyed; event++) {
			if (preempted.has(requestId) && event === first + eventsBeforePreemption) {
				record(`worker ${id}: preempts ${requestId} before event ${event}, for ${preemptedMs} ms`);
				await delay(preemptedMs);
				record(`worker ${id}: ${requestId} goes on`);
			}

			response.write(`id: ${event}\ndata: ${requestId} ${'t'.repeat(50)}\n\n`);
			await delay(eventMs);
		}

		response.end();
	},
});

/* Reads one stream; resolves with whether it came to its end. */
const readStream = async (entry, id, agent) => new Promise(resolve => {
	let text = '';
	const finish = how => {
		const events = [...text.matchAll(/^id: (?<number>\d+)$/gmv)].length;
		const isWhole = how === 'complete' && events === eventsPerStream;
		resolve({events, isWhole, how});
	};

	const call = request({
		agent,
		host: '127.0.0.1',
		port: entry.front,
		method: 'POST',
		path: '/draft/quote',
		headers: {host: 'desk.example', 'wardswitch-request-id': id, 'wardswitch-deadline-ms': String(deadlineMs)},
	}, answer => {
		answer.setEncoding('utf8');
		answer.on('data', chunk => {
			text += chunk;
		});
		answer.once('error', () => undefined);
		answer.once('close', () => {
			finish(answer.complete ? 'complete' : 'connection closed within the stream');
		});
	});
	call.once('error', error => {
		finish(error.message);
	});
	call.end('{"prompt":"granite"}');
});

let outcome = 2;
try {
	for (const id of ['i-model-1', 'i-model-2', 'i-model-3']) {
		await fleet.startWorker(makeWorker(id));
	}

	await fleet.startEntries();
	await delay(3000);
	const [entry] = fleet.entries;
	const agent = new Agent({keepAlive: true});
	const work = {isOver: false, last: 0};
	// Other callers keep the workers busy, before the stop and in its first seconds.
	const callers = Array.from({length: background}, async (_empty, index) => {
		await delay(index * 150);
		while (!work.isOver) {
			work.last++;
			await readStream(entry, `b${work.last}`, agent);
		}
	});
	await delay(4000);
	const marked = ['q1', 'q2', 'q3'];
	if (hasTrouble) {
		for (const id of marked) {
			preempted.add(id);
		}
	}

	const streams = marked.map(async id => {
		record(`client: ${id} sent`);
		const result = await readStream(entry, id, new Agent());
		record(`client: ${id}: ${result.events} of ${eventsPerStream} events, ${result.how}`);
		return result;
	});
	await delay(100);
	if (hasTrouble) {
		record('platform: SIGTERM to entry 1');
		entry.child.kill('SIGTERM');
	}

	const results = await Promise.all(streams);
	work.isOver = true;
	const cut = results.filter(({isWhole}) => !isWhole).length;
	record(`result: ${cut} of ${results.length} streams were cut off by the entry`);
	outcome = cut > 0 ? 1 : 0;
	await Promise.race([Promise.all(callers), delay(3000)]);
	agent.destroy();
} catch (error) {
	record(`case could not run: ${error.stack}`);
} finally {
	fleet.stop();
}

process.exitCode = outcome;
