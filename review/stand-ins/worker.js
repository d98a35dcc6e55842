import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';

/** A plain worker: answers `/NAME/BYTES` with as many bytes, and names the request in the first of them. */
export class Worker {
	/** When each request arrived, milliseconds, by its id. */
	arrivals = [];
	/** Ids of the requests that it has run. */
	runs = [];
	#open = [];
	#server = createServer(async (request, response) => {
		await this.#serve(request, response);
	});

	constructor({id, service, workMs = 20, zone = 'barre-hall', slots = 8}) {
		Object.assign(this, {
			id, service, workMs, zone, slots,
		});
	}

	async start() {
		this.#server.keepAliveTimeout = 30_000;
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
		this.address = `127.0.0.1:${this.#server.address().port}`;
	}

	close() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	/** Exits: finishes the requests that have arrived before `until`, milliseconds, and closes all connections. */
	async exit(until) {
		while (this.#open.some(({at}) => at <= until)) {
			await delay(1);
		}

		this.close();
	}

	/** What it writes to the store. */
	describe(sequence) {
		return {
			service: this.service, address: this.address, zone: this.zone, version: 'v1', slots: this.slots, state: 'ready', coldLeftMs: 0, sequence,
		};
	}

	async #serve(request, response) {
		request.resume();
		await once(request, 'end');
		const id = request.headers['wardswitch-request-id'];
		const headers = {'wardswitch-request-id': id, 'wardswitch-instance-id': this.id};
		if (request.headers['wardswitch-expect-instance'] !== this.id) {
			response.writeHead(421, headers).end();
			return;
		}

		const run = {id, at: performance.now()};
		this.arrivals.push(run);
		this.runs.push(id);
		this.#open.push(run);
		await delay(this.workMs);
		this.#open = this.#open.filter(one => one !== run);
		const bytes = Number(request.url.split('/').at(-1));
		const name = `answer to ${id}\n`;
		const body = Buffer.alloc(Math.max(bytes, name.length), name);
		const answerHeaders = {
			...headers, 'wardswitch-server-signature': this.id, 'content-type': 'text/plain', 'content-length': body.length,
		};
		response.writeHead(200, answerHeaders).end(body);
	}
}
