import {mock} from 'node:test';
import {setImmediate as yieldTurn} from 'node:timers/promises';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {BalanceSettings} from '../../src/expert-balance/balance-settings.js';
import {RankProcess} from '../../src/expert-balance/rank-process.js';
import {type RankEngine} from '../../src/expert-balance/rank-engine.js';
import {getPlannerKey} from '../../src/expert-balance/get-planner-key.js';
import {groupKeys} from '../../src/fleet/group-keys.js';
import {GroupListing} from '../../src/fleet/group-listing.js';
import {type LinkConnection} from '../../src/link/link-connection.js';
import {LockstepGroup} from '../../stand-ins/engine/lockstep-group.js';
import {MemoryStore} from '../../stand-ins/forward/memory-store.js';
import {LimitedNetwork} from './limited-network.js';

type ServiceOptions = {
	readonly groups: number;
	readonly ranks: number;
	readonly layers: number;
	readonly experts: number;
	readonly slots: number;
	readonly maximumNew: number;
	/** Bandwidth of each VM's link in each direction, bytes per second. */
	readonly bytesPerSecond: number;
	readonly passMs: number;
	readonly seed: number;
};

const service = 'model';
const entryAddress = '10.1.0.1:1';
const turnMs = 5;
const latencyMs = 2;

/** The groups of one service, with the process of each rank on its own VM, connected in memory by links of limited bandwidth. */
export class RankService {
	now = 0;
	readonly groups: LockstepGroup[] = [];
	readonly log: string[] = [];
	/** Number of orders that the entry has passed to engines. */
	ordersViaEntry = 0;
	private readonly store = new MemoryStore();
	private readonly network: LimitedNetwork;
	private readonly processes: RankProcess[] = [];
	private readonly engines = new Map<string, RankEngine>();
	private readonly random: () => number;
	private readonly actions = new Map<number, () => void>();

	constructor(private readonly options: ServiceOptions) {
		const generator = xoroshiro128plus(options.seed);
		this.random = () => uniformFloat64(generator);
		this.network = new LimitedNetwork({bytesPerSecond: options.bytesPerSecond, latencyMs, clock: () => this.now});
		for (let index = 0; index < options.groups; index++) {
			this.groups.push(this.makeGroup(index));
		}

		this.store.put(`wardswitch/entries/${entryAddress}`, entryAddress);
		this.network.listen(entryAddress, connection => {
			this.forwardOrders(connection);
		});
	}

	/** Sets the time that a process takes to handle one message of another VM, milliseconds; none at first. */
	setMessageTime(ms: number): void {
		this.network.messageMs = ms;
	}

	/** Writes a key as another writer does, without a lease. */
	put(key: string, value: string): void {
		this.store.put(key, value);
	}

	/** Writes the planner key of the first group as another writer does, without a lease. */
	putPlannerKey(value: string): void {
		this.put(getPlannerKey(service, 'group-0'), value);
	}

	/** Calls a function once the clock has reached `ms`. */
	onTime(ms: number, action: () => void): void {
		this.actions.set(ms, action);
	}

	/** Reads the listings of engines by group that planners publish for entries. */
	async readListings(): Promise<GroupListing[]> {
		const listed = await this.store.createClient('reader').list(groupKeys.prefix);
		return listed._unsafeUnwrap().items.map(({value}) => GroupListing.parse(JSON.parse(value)));
	}

	/** Starts the processes and advances the simulated clock, on which all their timers run. */
	async run(ms: number, shiftMs: number): Promise<void> {
		mock.timers.enable({apis: ['setTimeout', 'setInterval']});
		try {
			for (const address of this.engines.keys()) {
				this.startProcess(address);
			}

			const end = this.now + ms;
			while (this.now < end) {
				await this.turn(shiftMs);
			}
		} finally {
			for (const process of this.processes) {
				process.close();
			}

			mock.timers.reset();
		}
	}

	private async turn(shiftMs: number): Promise<void> {
		this.now += turnMs;
		this.actions.get(this.now)?.();
		for (const group of this.groups) {
			if (this.now % shiftMs === 0) {
				group.shiftDemand();
			}

			group.advance(this.now);
		}

		mock.timers.tick(turnMs);
		await yieldTurn();
	}

	private makeGroup(index: number): LockstepGroup {
		const group = new LockstepGroup({
			name: `group-${index}`, shape: this.options, stepMs: this.options.passMs, random: this.random, delayedShare: 0, unansweredShare: 0,
		});
		for (let rank = 0; rank < this.options.ranks; rank++) {
			this.engines.set(`10.0.${index}.${rank}:2`, group.openEngine(rank));
		}

		return group;
	}

	private startProcess(engineAddress: string): void {
		const ownAddress = engineAddress.replace(':2', ':1');
		const process = new RankProcess({
			service,
			ownAddress,
			engineAddress,
			balance: BalanceSettings.parse({}),
			feed: this.store.createClient(ownAddress),
			registry: this.store.createClient(ownAddress),
			openEngine: address => this.engines.get(address)!,
			listEngines: async () => [...this.engines.keys()],
			readService: async () => ({
				name: service, maximumConnections: 1, experts: {...this.options, count: this.options.experts},
			}),
			connect: async address => this.network.connect(ownAddress, address),
			clock: () => this.now,
			random: this.random,
			delay: async ms => new Promise(resolve => {
				setTimeout(resolve, ms);
			}),
			onOutcome: () => undefined,
			log: line => {
				this.log.push(`${this.now} ${ownAddress}: ${line}`);
			},
		});
		this.processes.push(process);
		this.network.listen(ownAddress, connection => {
			process.accept(connection);
		});
		process.start();
	}

	private forwardOrders(connection: LinkConnection): void {
		connection.onMessage(async message => {
			if (message.type === 'engine-order') {
				this.ordersViaEntry++;
				const outcome = await this.engines.get(message.engineAddress)!.order(message.order);
				connection.send({type: 'engine-outcome', number: message.number, outcome});
			}
		});
	}
}
