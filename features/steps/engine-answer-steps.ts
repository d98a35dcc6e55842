import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {Then, When} from '@cucumber/cucumber';
import {openStreamAgent} from '../../src/http/open-stream-agent.js';
import {MemoryBudget} from '../../src/memory/memory-budget.js';
import {callEngine} from '../../src/target/call-engine.js';
import {Execution} from '../../src/target/execution.js';
import {resetConnection} from '../../stand-ins/forward/reset-connection.js';
import {type SystemWorld} from '../support/system-world.js';

/** Turns of the event loop in which the end of a connection on loopback is noticed. */
const turns = 50;
/** Limit on the unread bytes of an answer. */
const replayBytes = 1000;

/* Ends or resets the connection, and resolves when the other side has had time to notice. */
const close = async (socket: Socket, ending: string): Promise<void> => {
	if (ending === 'ends') {
		socket.end();
	} else {
		resetConnection(socket);
	}

	for (let turn = 0; turn < turns; turn++) {
		await nextTurn();
	}
};

// eslint-disable-next-line require-unicode-regexp -- Cucumber does not take the flag v
When(/^an engine (ends|resets) its connection after (\d+) bytes of an answer without a length that is read later$/, async function (this: SystemWorld, ending: string, bytes: string) {
	const execution = new Execution({
		request: {
			type: 'request', id: 'one', attempt: 1, method: 'GET', path: '/', headers: {}, body: new Uint8Array(),
		} as unknown as ConstructorParameters<typeof Execution>[0]['request'],
		replayBytes,
		budget: new MemoryBudget(Number.MAX_SAFE_INTEGER),
		arrivedAt: 0,
	});
	const over = new AbortController();
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.write(`HTTP/1.1 200 OK\r\n\r\n${'x'.repeat(Number(bytes))}`, async () => {
				await close(socket, ending);
				while (!over.signal.aborted) {
					execution.acknowledge(Number.MAX_SAFE_INTEGER, 0);
					await nextTurn();
				}
			});
		});
	});
	this.onClose(() => {
		over.abort();
		server.close();
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	try {
		await callEngine(execution, {
			url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, dispatcher: openStreamAgent(1), tableVersion: () => 0, clock: () => 0,
		});
		this.notes.set('outcome', 'whole');
	} catch {
		this.notes.set('outcome', 'cut');
	}
});

Then(/^the answer of the engine is (whole|cut)$/, function (this: SystemWorld, outcome: string) { // eslint-disable-line require-unicode-regexp
	assert.equal(this.notes.get('outcome'), outcome);
});
