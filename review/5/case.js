// An entry gets SIGTERM while a client is still reading a long answer, which its worker has completed.
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import {request} from 'node:http';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {drainBody, startFleet} from '../stand-ins-2/fleet.js';

const hasTrouble = process.env.TROUBLE !== '0';
const answerBytes = 15 * 1024 * 1024;
/** What a client's link takes, bytes per second, and how often it reads, milliseconds. The answer takes it five to six seconds. */
const bytesPerSecond = 3_000_000;
const readMs = 20;
const deadlineMs = 8000;
const clients = 5;

const fleet = await startFleet({
	routes: [{
		name: 'r1', host: 'desk.example', prefix: '/sheet/', kind: 'safe', timeoutMs: deadlineMs, targetLatencyMs: deadlineMs, maxAttempts: 2, service: 'yard', priority: 2,
	}],
	services: [{name: 'yard', maxConnections: 100}],
	recordFile: process.argv[2],
});
const {record} = fleet;
const body = randomBytes(answerBytes);

/* Reads an answer at the speed of the client's link; resolves with what arrived. */
const ask = async (entry, id) => new Promise(resolve => {
	const sentAt = performance.now();
	const call = request({
		host: '127.0.0.1', port: entry.front, path: '/sheet/1', agent: false, headers: {host: 'desk.example', 'wardswitch-request-id': id, 'wardswitch-deadline-ms': String(deadlineMs)},
	});
	const finish = (status, bytes, how) => {
		record(`client ${id}: status ${status}, ${bytes} of ${answerBytes} bytes, ${how} after ${Math.round(performance.now() - sentAt)} ms`);
		resolve({status, bytes, isWhole: bytes === answerBytes});
	};

	call.once('error', error => {
		finish(0, 0, error.message);
	});
	call.once('response', async answer => {
		let bytes = 0;
		const beganAt = performance.now();
		answer.once('error', () => undefined);
		while (!answer.readableEnded && !answer.destroyed) {
			const allowed = ((performance.now() - beganAt) / 1000 * bytesPerSecond) - bytes;
			const chunk = allowed > 0 ? answer.read() : null;
			bytes += chunk?.length ?? 0;
			if (chunk === null) {
				await delay(readMs);
			}
		}

		finish(answer.statusCode, bytes, answer.complete ? 'complete' : 'closed early');
	});
	record(`client ${id}: GET /sheet/1 sent`);
	call.end();
});

let outcome = 2;
try {
	await fleet.startWorker({
		id: 'i-yard-1',
		service: 'yard',
		async serve(incoming, response) {
			await drainBody(incoming);
			const id = incoming.headers['wardswitch-request-id'];
			record(`worker: runs ${id}`);
			response.writeHead(200, {'wardswitch-request-id': id, 'wardswitch-server-signature': `s.${id}`, 'content-length': String(Buffer.byteLength(body))});
			response.end(body, () => {
				record(`worker: ${id} answered completely`);
			});
		},
	});
	await fleet.startEntries();
	await delay(3000);
	const [entry] = fleet.entries;
	const answers = Array.from({length: clients}, async (_empty, index) => ask(entry, `9c41d07be2a35f6${index}`));
	await delay(300);
	if (hasTrouble) {
		record('platform: SIGTERM to entry 1');
		entry.child.kill('SIGTERM');
	}

	const results = await Promise.all(answers);
	const lost = results.filter(({isWhole}) => !isWhole).length;
	record(`result: ${lost} of ${results.length} answers were cut off`);
	outcome = lost > 0 ? 1 : 0;
} catch (error) {
	record(`case could not run: ${error.stack}`);
} finally {
	fleet.stop();
}

process.exitCode = outcome;
