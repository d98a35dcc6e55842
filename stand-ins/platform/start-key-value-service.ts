import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {KeyValueStore} from './key-value-store.js';
import {type KeyValueService} from './key-value-service.js';

type Body = Record<string, any>;

const readBody = async (request: IncomingMessage): Promise<Body> => {
	let text = '';
	for await (const chunk of request) {
		text += String(chunk);
	}

	return JSON.parse(text) as Body;
};

/** Faults that a scenario can inject into the key-value stand-in. */
type Faults = {
	/** The connection of every call is closed. */
	isDown: boolean;
	/** Delay before each answer, milliseconds. */
	delayMs: number;
	/** Number of coming writes that take effect but whose answer is lost. */
	lostAnswers: number;
	/** While set, watches deliver no events. */
	isWatchSilent: boolean;
};

const serveWatch = (store: KeyValueStore, faults: Faults, body: Body, response: ServerResponse): void => {
	const {key, range_end: end, start_revision: start} = body.create_request as {key: string; range_end: string; start_revision: string};
	const first = Buffer.from(key, 'base64').toString('latin1');
	const last = Buffer.from(end, 'base64').toString('latin1');
	let next = Number(start);
	const flush = () => {
		if (faults.isWatchSilent) {
			return;
		}

		const events = store.changes.filter(change => {
			const raw = Buffer.from(change.key, 'base64').toString('latin1');
			return change.revision >= next && raw >= first && raw < last;
		});
		next = store.revision + 1;
		if (events.length > 0) {
			const result = {events: events.map(({key: name, value, revision, isDeletion}) => ({type: isDeletion ? 'DELETE' : 'PUT', kv: {key: name, value, mod_revision: String(revision)}}))};
			response.write(`${JSON.stringify({result})}\n`);
		}
	};

	response.write(`${JSON.stringify({result: {created: true}})}\n`);
	response.on('close', store.subscribe(flush));
	flush();
};

/** Starts the key-value stand-in on loopback: the part of etcd v3's JSON gateway that the system uses. */
export async function startKeyValueService(now: () => number, port = 0): Promise<KeyValueService> {
	const store = new KeyValueStore();
	const faults: Faults = {
		isDown: false, delayMs: 0, lostAnswers: 0, isWatchSilent: false,
	};
	const calls = new Map<string, number>();
	const watches = new Set<ServerResponse>();

	const answer = (path: string, body: Body): unknown => {
		const header = () => ({revision: String(store.revision)});
		store.expireLeases(now());
		switch (path) {
			case '/v3/kv/range': {
				return {kvs: store.range(body.key as string, body.range_end as string | undefined), header: header()};
			}

			case '/v3/kv/txn': {
				const succeeded = store.transact((body.compare ?? []) as never, (body.success ?? []) as never);
				return {succeeded, header: header()};
			}

			case '/v3/lease/grant': {
				return {ID: store.grantLease(Number(body.TTL), now()), TTL: body.TTL as string};
			}

			default: {
				return {result: {ID: body.ID as string, TTL: String(store.renewLease(body.ID as string, now()))}};
			}
		}
	};

	const server = createServer(async (request, response) => {
		const path = request.url!;
		calls.set(path, (calls.get(path) ?? 0) + 1);
		if (faults.isDown) {
			request.socket.destroy();
			return;
		}

		const body = await readBody(request);
		if (faults.delayMs > 0) {
			await delay(faults.delayMs);
		}

		if (path === '/v3/watch') {
			watches.add(response);
			response.on('close', () => watches.delete(response));
			serveWatch(store, faults, body, response);
			return;
		}

		const result = answer(path, body);
		if (path === '/v3/kv/txn' && faults.lostAnswers > 0) {
			faults.lostAnswers--;
			request.socket.destroy();
			return;
		}

		response.setHeader('content-type', 'application/json');
		response.end(JSON.stringify(result));
	});
	server.listen(port, '127.0.0.1');
	await once(server, 'listening');
	return {
		url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
		store,
		faults,
		calls,
		breakWatches() {
			for (const watch of watches) {
				watch.destroy();
			}
		},
		async close() {
			server.close();
			server.closeAllConnections();
			await Promise.resolve();
		},
	};
}
