import {mock} from 'node:test';
import {setImmediate as yieldTurn} from 'node:timers/promises';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {LoadBoard} from '../../src/balance/load-board.js';
import {EntryMesh} from '../../src/mesh/entry-mesh.js';
import {StoreView} from '../../src/view/store-view.js';
import {unguarded} from '../../src/view/unguarded.js';
import {MemoryStore} from '../../stand-ins/forward/memory-store.js';
import {NarrowNetwork} from './narrow-network.js';

type Member = {
	readonly address: string;
	readonly availabilityZone: string;
	readonly board: LoadBoard;
	readonly mesh: EntryMesh;
	/** Requests under way: their targets, and when they end. */
	running: Array<{readonly target: string; readonly endsAt: number}>;
	nextRequestAt: number;
};

type CrowdOptions = {readonly entries: number; readonly zones: number; readonly targets: number; readonly seed: number};

const turnMs = 5;
const tickMs = 100;
/* What entries of a larger customer do: six requests a second each, which last for 1.3 s. */
const requestMs = 160;
const lastsMs = 1300;
const bytesPerSecond = 5_000_000;

/** Entries in several zones that tell each other what they have in flight, joined by links in memory. */
export class EntryCrowd {
	now = 0;
	readonly members: Member[] = [];
	private isBusy = true;
	private readonly random: () => number;
	private readonly network = new NarrowNetwork({bytesPerSecond, latencyMs: 2, clock: () => this.now});

	constructor(private readonly options: CrowdOptions) {
		const generator = xoroshiro128plus(options.seed);
		this.random = () => uniformFloat64(generator);
	}

	/** Lets all entries meet and serve for so long, and then be quiet for the rest. */
	async run(busyMs: number, quietMs: number, onQuiet: (crowd: EntryCrowd) => void): Promise<void> {
		mock.timers.enable({apis: ['setTimeout', 'setInterval']});
		try {
			for (let index = 0; index < this.options.entries; index++) {
				this.members.push(this.startMember(index));
			}

			for (const {mesh} of this.members) {
				mesh.meet(this.members.map(({address}) => address));
			}

			await this.pass(busyMs);
			onQuiet(this);
			this.isBusy = false;
			await this.pass(quietMs);
		} finally {
			for (const {mesh} of this.members) {
				mesh.close();
			}

			mock.timers.reset();
		}
	}

	/** Bytes that an entry has sent, by the mean. */
	getMeanBytes(): number {
		const sent = this.members.map(({address}) => this.network.getSentBytes(address));
		return sent.reduce((sum, bytes) => sum + bytes, 0) / sent.length;
	}

	/** Pairs of entries of which the one counts other requests of all than are in flight. */
	countMistaken(): number {
		const totals = this.members.map(({board}) => this.sum(board));
		const inFlight = this.members.flatMap(({running}) => running).length;
		return totals.filter(total => total !== inFlight).length;
	}

	private sum(board: LoadBoard): number {
		let total = 0;
		for (let target = 0; target < this.options.targets; target++) {
			total += board.count(`i-target-${target}`, this.now);
		}

		return total;
	}

	private async pass(ms: number): Promise<void> {
		for (const end = this.now + ms; this.now < end;) {
			this.now += turnMs;
			for (const member of this.members) {
				this.serve(member);
			}

			mock.timers.tick(turnMs);
			await yieldTurn();
		}
	}

	private serve(member: Member): void {
		const {board, mesh} = member;
		if (this.now % tickMs === 0) {
			mesh.tick();
		}

		// Once it is quiet, nothing begins or ends, so that all can come to know the same.
		if (!this.isBusy) {
			return;
		}

		for (const {target} of member.running.filter(({endsAt}) => endsAt <= this.now)) {
			board.end(target);
		}

		member.running = member.running.filter(({endsAt}) => endsAt > this.now);
		if (this.now >= member.nextRequestAt) {
			const target = `i-target-${Math.floor(this.random() * this.options.targets)}`;
			board.begin(target, this.now);
			member.running.push({target, endsAt: this.now + lastsMs});
			member.nextRequestAt = this.now + (requestMs * 2 * this.random());
		}
	}

	private startMember(index: number): Member {
		const address = `10.0.${index}.1:1`;
		const availabilityZone = `zone-${index % this.options.zones}`;
		const clock = (): number => this.now;
		const board = new LoadBoard(() => {
			mesh.reportSoon();
		});
		const mesh: EntryMesh = new EntryMesh({
			id: `entry-${index}`,
			address,
			availabilityZone,
			connect: async peer => this.network.connect(address, peer),
			hello: () => ({
				type: 'hello', protocol: 2, id: `entry-${index}`, role: 'entry', availabilityZone, incarnation: '1', tableVersion: 0,
			}),
			view: new StoreView({
				feed: new MemoryStore().createClient(address),
				prefix: '',
				guard: unguarded,
				waitMs: 1,
				longestPauseMs: 1,
				clock,
				random: this.random,
				delay: async () => undefined,
				log: String,
				onChange: String,
			}),
			getConfigurationVersion: () => 0,
			board,
			getDigest: () => ({}),
			onDigest: () => undefined,
			onMessage: () => undefined,
			clock,
			random: this.random,
			log: String,
		});
		this.network.listen(address, connection => {
			connection.onMessage(message => {
				mesh.receive(message, reply => connection.send(reply));
			});
		});
		return {
			address, availabilityZone, board, mesh, running: [], nextRequestAt: 0,
		};
	}
}
