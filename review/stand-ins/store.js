import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';

const pageSize = 400;
const busyStatus = 503;

const readJson = async request => {
	let text = '';
	for await (const chunk of request) {
		text += String(chunk);
	}

	return text === '' ? undefined : JSON.parse(text);
};

/** A small store with the calls of PROTOCOL.md: one revision counter, leases that end, watches that wait. */
export class Store {
	/** `up`; `busy`: every call is refused with 503; `silent`: calls that arrive meanwhile are never answered. */
	mode = 'up';
	/** Called with the path of each call as it arrives. */
	onCall = () => undefined;
	/** Called after each watch that was answered with changes. */
	onWatchAnswered = () => undefined;
	#items = new Map();
	#history = [];
	#leases = new Map();
	#waiting = new Set();
	#revision = 0;
	#lastLease = 0;
	#timer;
	#server = createServer(async (request, response) => {
		await this.#serve(request, response);
	});

	async start(host = '127.0.0.1') {
		this.#server.keepAliveTimeout = 60_000;
		this.#server.listen(0, host);
		await once(this.#server, 'listening');
		this.address = `${host}:${this.#server.address().port}`;
		this.#timer = setInterval(() => {
			this.#endLeases();
		}, 50);
	}

	close() {
		clearInterval(this.#timer);
		this.#server.close();
		this.#server.closeAllConnections();
	}

	/** Writes a JSON document, as the operator and the workers do. */
	put(key, document) {
		this.#put(key, Buffer.from(JSON.stringify(document)).toString('base64'), 0);
	}

	remove(key) {
		if (this.#items.delete(key)) {
			this.#revision++;
			this.#note({key, revision: this.#revision, removed: true});
		}
	}

	/** The text of a value; undefined if the key does not exist. */
	get(key) {
		const item = this.#items.get(key);
		return item && Buffer.from(item.value, 'base64').toString('utf8');
	}

	/** The revision of the last change of a key; 0 if it does not exist. */
	getRevision(key) {
		return this.#items.get(key)?.revision ?? 0;
	}

	/** The first key with this prefix. */
	findKey(prefix) {
		return [...this.#items.keys()].find(key => key.startsWith(prefix));
	}

	#put(key, value, lease) {
		this.#revision++;
		const created = this.#items.get(key)?.created ?? this.#revision;
		const item = {
			key, value, revision: this.#revision, created, lease,
		};
		this.#items.set(key, item);
		this.#note(item);
	}

	#note(event) {
		this.#history.push(event);
		for (const wake of this.#waiting) {
			wake();
		}
	}

	#endLeases() {
		const now = performance.now();
		for (const [lease, {endsAt}] of this.#leases) {
			// Leases pause while the store is down.
			if (endsAt <= now && this.mode === 'up') {
				this.#endLease(lease);
			}
		}
	}

	#endLease(lease) {
		this.#leases.delete(lease);
		for (const item of this.#items.values()) {
			if (item.lease === lease) {
				this.remove(item.key);
			}
		}
	}

	async #serve(request, response) {
		const {pathname, searchParams} = new URL(request.url, 'http://store');
		const body = await readJson(request);
		this.onCall(pathname);
		const arrivedIn = this.mode;
		const [status, document] = arrivedIn === 'up' ? await this.#answer(pathname, searchParams, body) : [busyStatus, {}];
		if (arrivedIn === 'silent' || this.mode === 'silent') {
			return;
		}

		response.writeHead(status, {'content-type': 'application/json'}).end(JSON.stringify(document));
		if (pathname === '/v1/kv-watch' && status === 200 && document.events.length > 0) {
			this.onWatchAnswered();
		}
	}

	async #answer(pathname, query, body) {
		const [, name, lease] = /^\/v1\/(kv-[a-z\-]+)(?:\/(\d+))?$/v.exec(pathname) ?? [];
		switch (name) {
			case 'kv-key': {
				const item = this.#items.get(query.get('key'));
				return item ? [200, {...item, asOf: this.#revision}] : [404, {}];
			}

			case 'kv-range': {
				return [200, this.#list(query)];
			}

			case 'kv-watch': {
				return this.#watch(query);
			}

			case 'kv-txn': {
				return this.#commit(body);
			}

			case 'kv-lease': {
				this.#lastLease++;
				this.#leases.set(this.#lastLease, {ttlMs: body.ttlMs, endsAt: performance.now() + body.ttlMs});
				return [200, {lease: this.#lastLease, ttlMs: body.ttlMs}];
			}

			case 'kv-keep': {
				return this.#keep(Number(lease));
			}

			case 'kv-lease-end': {
				this.#endLease(Number(lease));
				return [200, {}];
			}

			default: {
				return [400, {}];
			}
		}
	}

	#list(query) {
		const after = query.get('after') ?? '';
		const keys = [...this.#items.keys()].filter(key => key.startsWith(query.get('prefix') ?? '') && key > after).toSorted();
		return {items: keys.slice(0, pageSize).map(key => this.#items.get(key)), hasMore: keys.length > pageSize, asOf: this.#revision};
	}

	async #watch(query) {
		const [prefix, after] = [query.get('prefix') ?? '', Number(query.get('after'))];
		const find = () => this.#history.filter(event => event.revision > after && event.key.startsWith(prefix));
		const until = performance.now() + Number(query.get('waitMs'));
		while (find().length === 0 && performance.now() < until && this.mode === 'up') {
			await this.#waitForChange(until - performance.now());
		}

		return this.mode === 'busy' ? [busyStatus, {}] : [200, {events: find(), asOf: this.#revision}];
	}

	async #waitForChange(ms) {
		await new Promise(resolve => {
			const wake = () => {
				clearTimeout(timer);
				this.#waiting.delete(wake);
				resolve();
			};

			const timer = setTimeout(wake, ms);
			this.#waiting.add(wake);
		});
	}

	#commit({expected = [], puts = [], remove = []}) {
		if (expected.some(({key, revision}) => (this.#items.get(key)?.revision ?? 0) !== revision)) {
			return [412, {items: expected.flatMap(({key}) => this.#items.get(key) ?? [])}];
		}

		if (puts.some(({lease}) => lease && !this.#leases.has(lease))) {
			return [404, {}];
		}

		for (const {key, value, lease} of puts) {
			this.#put(key, value, lease ?? 0);
		}

		for (const key of remove) {
			this.remove(key);
		}

		return [200, {revision: this.#revision}];
	}

	#keep(lease) {
		const known = this.#leases.get(lease);
		if (!known) {
			return [404, {}];
		}

		known.endsAt = performance.now() + known.ttlMs;
		return [200, {lease, ttlMs: known.ttlMs}];
	}
}
