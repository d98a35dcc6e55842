import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {EpochClaim} from '../../src/expert-balance/epoch-claim.js';
import {PlannerServer} from '../../src/expert-balance/planner-server.js';
import {type LinkConnection} from '../../src/link/link-connection.js';
import {LinkMessage} from '../../src/link/link-message.js';
import {linkProtocolVersion} from '../../src/link/link-protocol-version.js';
import {RawLink} from '../support/raw-link.js';
import {ForwardSystem} from '../support/forward-system.js';
import {makeOddMessage} from '../support/make-odd-message.js';
import {MemoryStore} from '../../stand-ins/forward/memory-store.js';
import {type SystemWorld} from '../support/system-world.js';

type Peer = {readonly send: (message: LinkMessage) => void};

const longScenarioMs = 60_000;
const answerTimeoutMs = 5000;
const group = 'group';
const shape = {
	layers: 1, count: 4, slots: 3, maximumNew: 1,
};
const makeDraw = (seed: number): ((count: number) => number) => {
	const generator = xoroshiro128plus(seed);
	return count => uniformInt(generator, 0, count - 1);
};

Given('a planner of a group', function (this: SystemWorld) {
	let receive: ((message: LinkMessage) => void) | undefined;
	const planner = new PlannerServer({
		settings: {
			intervalMs: 1, leastGain: 0, leastRelief: 0, horizonMs: 1000,
		},
		clock: () => performance.now(),
		ownRank: () => 0,
		deliverLocal: () => undefined,
		openEngine() {
			throw new Error('no such address');
		},
		orderViaEntry: () => false,
		async listEngines() {
			throw new Error('the store answers something odd');
		},
		readService: async () => {
			if (!this.notes.has('read')) {
				this.notes.set('read', true);
				throw new Error('the store answers something odd');
			}

			return {name: 'desk', maximumConnections: 100, experts: shape};
		},
		onOutcome: () => undefined,
		log: line => {
			this.notes.set('lines', [...this.notes.get('lines') as string[] ?? [], line]);
		},
	});
	planner.accept({
		onMessage(handler: typeof receive) {
			receive = handler;
		},
		onClose: () => undefined,
		send: () => false,
	} as unknown as LinkConnection);
	const claim = new EpochClaim({
		registry: new MemoryStore().createClient('planner'), key: 'claims', planner: {key: 'planner', revision: {era: 0, number: 1}}, log: String,
	});
	const term = {term: 1, group, claim};
	this.notes.set('peer', {
		send(message) {
			receive!(message);
			planner.tick(term, performance.now());
		},
	} satisfies Peer);
	planner.tick(term, performance.now());
	this.onClose(() => {
		planner.close();
	});
});

When('a rank sends it {int} odd reports, seed {int}', {timeout: longScenarioMs}, async function (this: SystemWorld, count: number, seed: number) {
	const draw = makeDraw(seed);
	const {send} = this.notes.get('peer') as Peer;
	for (let number = 0; number < count; number++) {
		const message = LinkMessage.safeParse(makeOddMessage(draw(5) === 0 ? 'rank-outcome' : 'rank-status', draw));
		if (message.success) {
			if (message.data.type === 'rank-status') {
				message.data.report.group = group;
				message.data.term = 1;
				message.data.report.size = 1 + draw(2);
				message.data.report.rank = draw(2);
				message.data.report.epoch = 1;
				message.data.report.isOpen = true;
			}

			try {
				send(message.data);
			} catch {
				// The link is closed by what its messages throw.
			}

			await nextTurn();
		}
	}
});

Then('it has logged what failed, and goes on', async function (this: SystemWorld) {
	await nextTurn();
	const lines = this.notes.get('lines') as string[] ?? [];
	assert.ok(lines.some(line => line.includes('internal error')), lines.slice(0, 5).join('\n'));
});

/** Bytes that are no message: a deep item, no CBOR, a frame that is too long, a short one. */
const oddBytes: readonly Buffer[] = [
	Buffer.concat([Buffer.from([0, 1, 0x86, 0xA0]), Buffer.alloc(100_000, 0x81)]),
	Buffer.from([0, 0, 0, 2, 0xFF, 0xFF]),
	Buffer.from([0x7F, 0xFF, 0xFF, 0xFF]),
	Buffer.from([0, 0, 0, 0]),
];

const open = async (world: SystemWorld): Promise<RawLink> => {
	const {address, key} = world.notes.get('link') as {readonly address: string; readonly key: string};
	return RawLink.open(address, key, linkProtocolVersion);
};

/** Addresses and link keys of the processes under test, by their names in scenarios. */
const starts: Readonly<Record<string, (world: SystemWorld) => Promise<{readonly address: string; readonly key: string}>>> = {
	async 'forwarding entry'(world) {
		const system = new ForwardSystem();
		world.onClose(() => {
			system.close();
		});
		await system.addTarget('target-1');
		await system.addEntry('entry-1');
		return {address: system.linkAddresses[0], key: '00'.repeat(32)};
	},
	async entry(world) {
		await world.startSystem({zones: ['barre-hall'], entriesPerZone: 1});
		return {address: `127.0.0.1:${[...world.system.entries.values()][0].linkPort}`, key: 'a1'.repeat(32)};
	},
	async 'rank 0'(world) {
		await world.startSystem({zones: ['barre-hall'], entriesPerZone: 1});
		return {address: `127.0.0.1:${[...world.system.targets.values()][0].target.linkPort}`, key: 'a1'.repeat(32)};
	},
};

Given('a running {word} {word}', {timeout: longScenarioMs}, async function (this: SystemWorld, first: string, second: string) {
	this.notes.set('link', await starts[`${first} ${second}`](this));
});

Given('a running entry', {timeout: longScenarioMs}, async function (this: SystemWorld) {
	this.notes.set('link', await starts.entry(this));
});

When('a peer that knows its link key sends it {int} odd messages, seed {int}', {timeout: longScenarioMs}, async function (this: SystemWorld, count: number, seed: number) {
	const draw = makeDraw(seed);
	let link = await open(this);
	for (let number = 0; number < count; number++) {
		if (!link.isOpen) {
			link = await open(this);
		}

		const at = draw(50);
		link.send(oddBytes[at] ?? makeOddMessage(undefined, draw));
		await nextTurn();
	}

	link.close();
});

Then('it still answers on a new link', {timeout: longScenarioMs}, async function (this: SystemWorld) {
	const link = await open(this);
	this.onClose(() => {
		link.close();
	});
	// The other processes answer the introduction.
	link.send({type: 'permit-wanted', number: 1, limit: {id: 'target-1', perSecond: 1, agoMs: 0}});
	for (const end = performance.now() + answerTimeoutMs; link.received.length === 0;) {
		assert.ok(link.isOpen && performance.now() < end, 'no answer');
		await nextTurn();
	}
});
