import {once} from 'node:events';
import {createServer} from 'node:http';

const shape = {
	sets: 2, experts: 8, placements: 3, spare: 1,
};
/** Experts that requests choose most. */
const hot = new Set([0, 4]);
/** Tokens in an event of a stream. */
const tokensPerEvent = 5;
const models = [{name: 'm', version: 1, adapters: []}];

const readText = async request => {
	let text = '';
	for await (const chunk of request) {
		text += String(chunk);
	}

	return text;
};

/* Map 0 assigns experts in turn. */
const makeRank = (rank, size) => ({
	rank,
	id: `i-rank-${rank}`,
	map: {version: 0, experts: Array.from({length: shape.sets}, () => Array.from({length: shape.experts}, (_none, expert) => expert).filter(expert => expert % size === rank))},
	highest: 0,
	prepared: undefined,
	armed: undefined,
	held: undefined,
	accepted: 0,
	counts: Array.from({length: shape.sets * shape.experts}, () => 0),
	requests: [],
});

const describeOrder = ({operation, version, step}) => {
	const map = version === undefined ? '' : ` of map ${version}`;
	return `${operation}${map}${step === undefined ? '' : ` for pass ${step}`}`;
};

/** Model workers that are the ranks of one group: they execute each pass together, and take orders, as PROTOCOL.md says. */
export class RankGroup {
	step = 0;
	epoch = 1;
	/** Passes that began while two ranks had different maps. */
	mixedPasses = [];
	/** Called with each order as it arrives. */
	onOrder = () => undefined;
	/** Whether an order is left without an answer and carried out late: a promise that resolves when it is; undefined to answer at once. */
	delayOrder = () => undefined;
	#isPassing = false;
	#ranks;

	constructor({size, passMs, copyMs, record, service}) {
		Object.assign(this, {
			size, passMs, copyMs, record, service,
		});
		this.#ranks = Array.from({length: size}, (_empty, rank) => makeRank(rank, size));
	}

	/** The states of the ranks. */
	get ranks() {
		return this.#ranks;
	}

	async start() {
		for (const rank of this.#ranks) {
			rank.server = createServer(async (request, response) => {
				await this.#serve(rank, request, response);
			});
			rank.server.keepAliveTimeout = 60_000;
			rank.server.listen(0, '127.0.0.1');
			await once(rank.server, 'listening');
			rank.address = `127.0.0.1:${rank.server.address().port}`;
		}
	}

	close() {
		for (const {server} of this.#ranks) {
			server.close();
			server.closeAllConnections();
		}
	}

	/** What a rank writes to the store. */
	describe({address, accepted}) {
		return {
			service: this.service, address, zone: 'barre-hall', version: 'v1', slots: 8, state: 'ready', coldLeftMs: 0, stage: 'both', models, sequence: accepted,
		};
	}

	async #serve(rank, request, response) {
		const {pathname, searchParams} = new URL(request.url, 'http://worker');
		const body = await readText(request);
		const answer = (status, document) => {
			response.writeHead(status, {'content-type': 'application/json'}).end(JSON.stringify(document));
		};

		switch (pathname) {
			case '/health': {
				response.writeHead(200, {'wardswitch-instance-id': rank.id}).end();
				break;
			}

			case '/v1/report': {
				answer(200, this.#report(rank));
				break;
			}

			case '/v1/picked': {
				answer(200, searchParams.has('lists') ? this.#listMaps(rank) : {step: this.step, epoch: this.epoch, counts: rank.counts});
				break;
			}

			case '/v1/order': {
				await this.#takeOrder(rank, JSON.parse(body), answer);
				break;
			}

			default: {
				this.#run(rank, request, response);
			}
		}
	}

	#listMaps({map, prepared}) {
		return {epoch: this.epoch, map, prepared: prepared?.isReady ? {version: prepared.version, experts: prepared.experts} : undefined};
	}

	#report({rank, map, prepared, armed, held, accepted, requests}) {
		return {
			stage: 'both',
			models,
			busy: prepared !== undefined && !prepared.isReady,
			sequence: accepted,
			queued: 0,
			running: requests.length,
			kvUsed: 0,
			kvTotal: 248_000,
			handles: 0,
			pace: 1,
			group: {
				name: 'g1', epoch: this.epoch, rank, state: 'open',
			},
			size: this.size,
			step: this.step,
			map: map.version,
			prepared: prepared?.isReady ? prepared.version : undefined,
			armed,
			held,
		};
	}

	async #takeOrder(rank, order, answer) {
		const text = describeOrder(order);
		this.onOrder(rank, order);
		const due = this.delayOrder(rank, order);
		if (due) {
			this.record.note(`rank ${rank.rank}: order ${text} arrives, gets no answer and will be carried out late`);
			await due;
			this.record.note(`rank ${rank.rank}: order ${text} is carried out late`);
			this.record.note(`rank ${rank.rank}: outcome of the late order ${text}: ${this.#carryOut(rank, order)}`);
			return;
		}

		const status = this.#carryOut(rank, order);
		this.record.note(`rank ${rank.rank}: order ${text} arrives: ${status}`);
		answer(status, {});
	}

	/* Returns the status: 202 begun, 200 done or holds already, 409 does not fit. */
	#carryOut(rank, {operation, version, step, epoch, map}) {
		if (epoch !== undefined && epoch !== this.epoch) {
			return 409;
		}

		switch (operation) {
			case 'prepare': {
				return this.#prepare(rank, version, map.map(ranks => ranks[rank.rank]));
			}

			case 'arm': {
				return this.#arm(rank, version, step);
			}

			case 'hold': {
				return this.#hold(rank, step);
			}

			case 'go': {
				return this.#release(rank, step);
			}

			default: {
				return 400;
			}
		}
	}

	#prepare(rank, version, experts) {
		if (rank.prepared?.version === version) {
			return 200;
		}

		const added = experts.map((row, set) => row.filter(expert => !rank.map.experts[set].includes(expert)).length);
		const isFitting = experts.every(row => row.length <= shape.placements) && added.every(count => count <= shape.spare);
		if (version <= rank.highest || rank.armed || !isFitting) {
			return 409;
		}

		rank.accepted++;
		rank.highest = version;
		const prepared = {version, experts, isReady: false};
		rank.prepared = prepared;
		let copies = 0;
		for (const count of added) {
			copies += count;
		}

		setTimeout(() => {
			prepared.isReady = true;
			this.record.note(`rank ${rank.rank}: map ${version} is prepared`);
		}, this.copyMs * Math.max(1, copies));
		return 202;
	}

	#arm(rank, version, step) {
		if (rank.armed?.version === version && rank.armed.step === step) {
			return 200;
		}

		if (rank.prepared?.version !== version || !rank.prepared.isReady || step <= this.step) {
			return 409;
		}

		rank.accepted++;
		rank.armed = {version, step};
		return 202;
	}

	#hold(rank, step) {
		if (rank.held === step) {
			return 200;
		}

		if (step <= this.step || rank.held !== undefined) {
			return 409;
		}

		rank.accepted++;
		rank.held = step;
		return 202;
	}

	#release(rank, step) {
		if (rank.held !== step) {
			return 200;
		}

		rank.accepted++;
		rank.held = undefined;
		this.#continue();
		return 202;
	}

	#run(rank, request, response) {
		const id = request.headers['wardswitch-request-id'];
		const headers = {'wardswitch-request-id': id, 'wardswitch-instance-id': rank.id};
		if (request.headers['wardswitch-expect-instance'] !== rank.id) {
			response.writeHead(421, headers).end();
			return;
		}

		const [, tokens] = String(request.headers['wardswitch-token-usage'] ?? '700,10').split(',').map(Number);
		rank.requests.push({
			id, response, headers, events: Number(request.headers['last-event-id'] ?? 0), last: Math.ceil(tokens / tokensPerEvent),
		});
		response.on('close', () => {
			rank.requests = rank.requests.filter(one => one.response !== response);
		});
		this.#continue();
	}

	/* Begins the next pass if there is work and no rank holds it. An idle group makes no passes. */
	#continue() {
		const hasWork = this.#ranks.some(({requests}) => requests.length > 0);
		const isHeld = this.#ranks.some(({held}) => held === this.step + 1);
		if (this.#isPassing || !hasWork || isHeld) {
			return;
		}

		this.#isPassing = true;
		this.step++;
		for (const rank of this.#ranks) {
			if (rank.armed?.step === this.step) {
				rank.map = {version: rank.armed.version, experts: rank.prepared.experts};
				rank.prepared = undefined;
				rank.armed = undefined;
			}
		}

		const versions = this.#ranks.map(({map: {version}}) => version);
		if (new Set(versions).size > 1) {
			this.mixedPasses.push({step: this.step, versions});
			this.record.note(`pass ${this.step} begins with different maps: ${versions.join(', ')}`);
		}

		setTimeout(() => {
			this.#endPass();
		}, this.passMs);
	}

	#endPass() {
		for (const rank of this.#ranks) {
			for (const one of rank.requests) {
				this.#advance(rank, one);
			}

			rank.requests = rank.requests.filter(({events, last}) => events < last);
		}

		this.#isPassing = false;
		this.#continue();
	}

	#advance(rank, one) {
		for (const index of rank.counts.keys()) {
			rank.counts[index] += hot.has(index % shape.experts) ? 200 : 1;
		}

		one.events++;
		if (!one.response.headersSent) {
			one.response.writeHead(200, {...one.headers, 'wardswitch-server-signature': rank.id, 'content-type': 'text/event-stream'});
		}

		one.response.write(`id: ${one.events}\ndata: ${one.id}\n\n`);
		if (one.events >= one.last) {
			this.record.note(`rank ${rank.rank}: ran ${one.id}, up to pass ${this.step}`);
			one.response.end();
		}
	}
}
