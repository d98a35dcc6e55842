import {mock} from 'node:test';
import {setImmediate as yieldTurn} from 'node:timers/promises';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {InFlightCounts} from '../../src/balance/in-flight-counts.js';
import {EntryMesh} from '../../src/mesh/entry-mesh.js';
import {StoreView} from '../../src/view/store-view.js';
import {unorderedItems} from '../../src/view/unordered-items.js';
import {MemoryStore} from '../../stand-ins/forward/memory-store.js';
import {LimitedNetwork} from './limited-network.js';

type Member = {
	readonly address: string;
	readonly availabilityZone: string;
	readonly inFlightCounts: InFlightCounts;
	readonly mesh: EntryMesh;
	/** Running requests: their targets, and when they end, milliseconds. */
	running: Array<{readonly target: string; readonly endsAt: number}>;
	nextRequestAt: number;
};

type SimulationOptions = {readonly entries: number; readonly zones: number; readonly targets: number; readonly seed: number};

const stepMs = 5;
const tickMs = 100;
/* Load of a large installation: six requests per second at each entry, each of which takes 1.3 s. */
const requestIntervalMs = 160;
const durationMs = 1300;
const bytesPerSecond = 5_000_000;

/** Entries in several zones that report their requests in flight to each other, joined by links in memory. */
export class MeshSimulation {
	now = 0;
	readonly members: Member[] = [];
	private isBusy = true;
	private readonly random: () => number;
	private readonly network = new LimitedNetwork({bytesPerSecond, latencyMs: 2, clock: () => this.now});

	constructor(private readonly options: SimulationOptions) {
		const generator = xoroshiro128plus(options.seed);
		this.random = () => uniformFloat64(generator);
	}

	/** Connects all entries and lets them serve for `busyMs`; then no requests start or end for `quietMs`. */
	async run(busyMs: number, quietMs: number, onQuiet: (simulation: MeshSimulation) => void): Promise<void> {
		mock.timers.enable({apis: ['setTimeout', 'setInterval']});
		try {
			for (let index = 0; index < this.options.entries; index++) {
				this.members.push(this.startMember(index));
			}

			for (const {mesh} of this.members) {
				mesh.addPeers(this.members.map(({address}) => address));
			}

			await this.advance(busyMs);
			onQuiet(this);
			this.isBusy = false;
			await this.advance(quietMs);
		} finally {
			for (const {mesh} of this.members) {
				mesh.close();
			}

			mock.timers.reset();
		}
	}

	/** Mean number of bytes that an entry has sent. */
	getMeanBytes(): number {
		const sent = this.members.map(({address}) => this.network.getSentBytes(address));
		return sent.reduce((sum, bytes) => sum + bytes, 0) / sent.length;
	}

	/** Number of entries whose total of requests in flight is wrong. */
	countWrongTotals(): number {
		const totals = this.members.map(({inFlightCounts}) => this.sum(inFlightCounts));
		const inFlight = this.members.flatMap(({running}) => running).length;
		return totals.filter(total => total !== inFlight).length;
	}

	private sum(inFlightCounts: InFlightCounts): number {
		let total = 0;
		for (let target = 0; target < this.options.targets; target++) {
			total += inFlightCounts.count(`i-target-${target}`, this.now);
		}

		return total;
	}

	private async advance(ms: number): Promise<void> {
		for (const end = this.now + ms; this.now < end;) {
			this.now += stepMs;
			for (const member of this.members) {
				this.serve(member);
			}

			mock.timers.tick(stepMs);
			await yieldTurn();
		}
	}

	private serve(member: Member): void {
		const {inFlightCounts, mesh} = member;
		if (this.now % tickMs === 0) {
			mesh.tick();
		}

		// In the quiet period no requests start or end, so that all counts can converge.
		if (!this.isBusy) {
			return;
		}

		for (const {target} of member.running.filter(({endsAt}) => endsAt <= this.now)) {
			inFlightCounts.noteEnd(target);
		}

		member.running = member.running.filter(({endsAt}) => endsAt > this.now);
		if (this.now >= member.nextRequestAt) {
			const target = `i-target-${Math.floor(this.random() * this.options.targets)}`;
			inFlightCounts.noteStart(target, this.now);
			member.running.push({target, endsAt: this.now + durationMs});
			member.nextRequestAt = this.now + (requestIntervalMs * 2 * this.random());
		}
	}

	private startMember(index: number): Member {
		const address = `10.0.${index}.1:1`;
		const availabilityZone = `zone-${index % this.options.zones}`;
		const clock = (): number => this.now;
		const inFlightCounts = new InFlightCounts(() => {
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
				comparator: unorderedItems,
				waitMs: 1,
				maximumBackoffMs: 1,
				clock,
				random: this.random,
				delay: async () => undefined,
				log: String,
				onChange: String,
			}),
			getConfigurationVersion: () => 0,
			inFlightCounts,
			getDigest: () => ({}),
			onDigest: () => undefined,
			onSilence: () => undefined,
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
			address, availabilityZone, inFlightCounts, mesh, running: [], nextRequestAt: 0,
		};
	}
}
