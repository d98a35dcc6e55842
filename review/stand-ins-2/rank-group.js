// A group of model workers in lock step, as PROTOCOL.md describes it: while a rank is missing, nothing goes on at any rank.
import {once} from 'node:events';
import {createServer} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {drainBody} from './fleet.js';

const loopback = '127.0.0.1';
const slots = 8;
const firstEventMs = 120;
const eventMs = 40;
const eventsPerStream = 28;
/** Time between two looks whether the group goes on, milliseconds. */
const lookMs = 20;

/** The state that all ranks share; `stallMs`, `formMs` and `heartbeatMs` as the site says. */
export class RankGroup {
	brokenAt = undefined;
	onArrival = () => undefined;
	down = new Set();

	constructor(options) {
		this.options = options;
	}

	/* Resolves when the group goes on, with false if that took longer than work is kept. */
	async waitForPass(arrivedAt) {
		while (this.brokenAt !== undefined) {
			if (performance.now() - Math.max(this.brokenAt, arrivedAt) > this.options.stallMs) {
				return false;
			}

			await delay(lookMs);
		}

		return true;
	}

	noteCrash(id) {
		this.down.add(id);
		this.brokenAt ??= performance.now();
	}

	async noteReturn(id) {
		this.down.delete(id);
		if (this.down.size === 0) {
			await delay(this.options.formMs);
			this.brokenAt = undefined;
			this.options.record('group: open again');
		}
	}
}

/** One rank; each of its starts is a new incarnation with a new id. */
export class Rank {
	incarnation = 0;
	sockets = new Set();

	constructor(group, number, port) {
		this.group = group;
		this.number = number;
		this.port = port;
	}

	async start() {
		this.incarnation++;
		this.id = `i-model-${this.number}-${this.incarnation}`;
		this.sequence = 0;
		this.server = createServer(async (incoming, response) => this.serve(incoming, response));
		this.server.keepAliveTimeout = 5000;
		this.server.on('connection', socket => {
			this.sockets.add(socket);
			socket.once('close', () => this.sockets.delete(socket));
		});
		this.server.listen(this.port, loopback);
		await once(this.server, 'listening');
		this.register();
		this.timer = setInterval(() => {
			this.register();
		}, this.group.options.heartbeatMs);
	}

	/** Ends without a word, and is back after `downMs` as a new incarnation; its entry expires after three heartbeats. */
	crash(downMs) {
		const {id, group} = this;
		const {store, heartbeatMs, record} = group.options;
		record(`worker ${id}: crashes`);
		group.noteCrash(id);
		this.close();
		setTimeout(() => {
			store.remove(`servers/${id}`);
		}, 3 * heartbeatMs);
		setTimeout(async () => {
			await this.start();
			record(`worker ${this.id}: is back in place of ${id}`);
			await group.noteReturn(id);
		}, downMs);
	}

	close() {
		clearInterval(this.timer);
		this.server.close();
		for (const socket of this.sockets) {
			socket.resetAndDestroy();
		}
	}

	register() {
		this.sequence++;
		this.group.options.store.put(`servers/${this.id}`, {
			service: 'model', address: `${loopback}:${this.port}`, zone: 'barre-hall', version: '1', slots, state: 'ready', coldLeftMs: 0, sequence: this.sequence,
		});
	}

	async serve(incoming, response) {
		const {id, group} = this;
		const arrivedAt = performance.now();
		await drainBody(incoming);
		const requestId = incoming.headers['wardswitch-request-id'];
		if (incoming.headers['wardswitch-expect-instance'] !== id) {
			response.writeHead(421, {'wardswitch-request-id': requestId, 'wardswitch-instance-id': id, 'wardswitch-not-executed': '1'}).end();
			return;
		}

		group.onArrival();
		await delay(firstEventMs);
		if (await group.waitForPass(arrivedAt)) {
			group.options.record(`worker ${id}: runs ${requestId}`);
			await this.stream(incoming, response, requestId);
		} else {
			const [faulty = id] = group.down;
			response.writeHead(503, {'wardswitch-request-id': requestId, 'wardswitch-not-executed': '1', 'at-server': faulty}).end();
		}
	}

	async stream(incoming, response, requestId) {
		const first = Number(incoming.headers['last-event-id'] ?? 0) + 1;
		response.writeHead(200, {
			'content-type': 'text/event-stream', 'wardswitch-request-id': requestId, 'wardswitch-server-signature': `s.${this.id}.${requestId}`,
		});
		for (let event = first; event <= eventsPerStream && !response.destroyed; event++) {
			if (!(await this.group.waitForPass(0))) {
				response.destroy();
				return;
			}

			response.write(`id: ${event}\ndata: ${requestId}\n\n`);
			await delay(eventMs);
		}

		response.end();
	}
}
