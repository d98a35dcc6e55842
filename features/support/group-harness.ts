import {setImmediate as yieldTurn} from 'node:timers/promises';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {BalanceSettings} from '../../src/expert-balance/balance-settings.js';
import {EpochClaim} from '../../src/expert-balance/epoch-claim.js';
import {GroupController} from '../../src/expert-balance/group-controller.js';
import {type RankEngine} from '../../src/expert-balance/rank-engine.js';
import {RankAgent} from '../../src/expert-balance/rank-agent.js';
import {type RankOrder} from '../../src/expert-balance/rank-order.js';
import {type LinkMessage} from '../../src/link/link-message.js';
import {LockstepGroup} from '../../stand-ins/engine/lockstep-group.js';
import {MemoryStore} from '../../stand-ins/forward/memory-store.js';

type Planner = {readonly term: number; readonly rank: number; readonly controller: GroupController; readonly claim: EpochClaim; readonly clockOffsetMs: number; isAlive: boolean; isSuspended: boolean};

const turnMs = 20;
const plannerKey = 'planner';
const shape = {
	ranks: 4, layers: 2, experts: 8, slots: 3, maximumNew: 2,
};

/** A lock-step group with its rank agents and one planner or more, connected in memory; the scenario injects the faults. */
export class GroupHarness {
	now = 0;
	readonly group: LockstepGroup;
	/** Holds the planner's key, and the claims on epochs. */
	readonly store = new MemoryStore();
	readonly log: string[] = [];
	readonly planners: Planner[] = [];
	/** Share of the messages between processes that are lost. */
	lossShare = 0;
	/** Ranks whose VM is suspended. */
	readonly suspended = new Set<number>();
	/** Ranks whose process has ended, while the engine goes on. */
	readonly ended = new Set<number>();
	readonly random: () => number;
	/** Whether an entry forwards planners' orders, and how many it has forwarded. */
	hasEntry = false;
	ordersViaEntry = 0;
	/** Latency of a message between processes, milliseconds. */
	latencyMs = 0;
	private readonly agents: RankAgent[] = [];
	private inTransit: Array<{readonly dueAt: number; readonly canReceive: () => boolean; readonly deliver: () => void}> = [];
	/** Planner to which each agent reports. */
	private readonly followed: Array<Planner | undefined> = [];

	constructor(seed: number, passMs = 60) {
		const generator = xoroshiro128plus(seed);
		this.random = () => uniformFloat64(generator);
		this.group = new LockstepGroup({
			shape, stepMs: passMs, random: this.random, delayedShare: 0, unansweredShare: 0,
		});
		for (let rank = 0; rank < shape.ranks; rank++) {
			this.restartAgent(rank);
		}
	}

	/**
	 * Starts a planner for a new term on a rank's VM; agents learn of it by `follow`.
	 *
	 * @param clockOffsetMs - how far the planner's clock is ahead of the others'
	 */
	startPlanner(rank: number, clockOffsetMs = 0): Planner {
		const term = this.planners.length + 1;
		this.store.put(plannerKey, String(term));
		const claim = new EpochClaim({
			registry: this.store.createClient(`planner-${term}`),
			key: 'claims',
			planner: {key: plannerKey, revision: {era: 0, number: this.store.lastRevision}},
			log: line => {
				this.log.push(`${this.now} term ${term}: ${line}`);
			},
		});
		const planner: Planner = {
			term,
			rank,
			claim,
			clockOffsetMs,
			isAlive: true,
			isSuspended: false,
			controller: new GroupController({
				group: 'group',
				term,
				ownRank: () => rank,
				settings: BalanceSettings.parse({}),
				claim,
				getShape: () => shape,
				send: (to, message) => this.deliver(planner, to, message),
				orderViaEntry: (address, order) => this.orderViaEntry(Number(address), order),
				listEngines: async () => ['0', '1', '2', '3'],
				openEngine: address => this.openRemotely(Number(address)),
				log: line => {
					this.log.push(`${this.now} term ${term}: ${line}`);
				},
			}),
		};
		this.planners.push(planner);
		return planner;
	}

	/** Makes an agent follow a planner. */
	follow(rank: number, planner: Planner): void {
		this.followed[rank] = planner;
		this.agents[rank].recordTerm(planner.term);
	}

	followAll(planner: Planner): void {
		for (const rank of this.agents.keys()) {
			this.follow(rank, planner);
		}
	}

	restartAgent(rank: number): void {
		this.agents[rank] = new RankAgent({
			engine: this.group.openEngine(rank),
			engineAddress: String(rank),
			clock: () => this.now,
			send: message => this.report(rank, message),
			log: line => {
				this.log.push(`${this.now} rank ${rank}: ${line}`);
			},
		});
		const planner = this.followed[rank];
		if (planner) {
			this.agents[rank].recordTerm(planner.term);
		}
	}

	/** Advances the simulated clock. */
	async run(ms: number, cause?: () => void): Promise<void> {
		const end = this.now + ms;
		while (this.now < end) {
			this.now += turnMs;
			cause?.();
			this.group.advance(this.now);
			this.deliverDue();
			for (const [rank, member] of this.agents.entries()) {
				if (!this.suspended.has(rank) && !this.ended.has(rank)) {
					void member.tick(this.now);
				}
			}

			for (const planner of this.planners) {
				if (planner.isAlive && !planner.isSuspended) {
					void planner.claim.tick(planner.controller.claimedEpoch, this.now);
					void planner.controller.tick(this.now + planner.clockOffsetMs);
				}
			}

			await yieldTurn();
		}
	}

	/* Sends the order from an entry's VM, which may be lost right after it. */
	private orderViaEntry(rank: number, order: RankOrder): boolean {
		if (!this.hasEntry) {
			return false;
		}

		void this.openRemotely(rank).order(order);
		this.ordersViaEntry++;
		return true;
	}

	/* The engine of a suspended VM keeps running with its group, but answers no requests. */
	private openRemotely(rank: number): RankEngine {
		const engine = this.group.openEngine(rank);
		const check = (): void => {
			if (this.suspended.has(rank)) {
				throw new Error('no answer');
			}
		};

		return {
			async readReport() {
				check();
				return engine.readReport();
			},
			async readCounts() {
				check();
				return engine.readCounts();
			},
			async readPlacement() {
				check();
				return engine.readPlacement();
			},
			order: async order => this.suspended.has(rank) ? 'unknown' : engine.order(order),
		};
	}

	private deliver(planner: Planner, rank: number, message: LinkMessage): boolean {
		if (this.random() < this.lossShare) {
			return false;
		}

		// Messages to a suspended process wait in its socket.
		this.send(() => !this.suspended.has(rank) && !this.ended.has(rank), () => {
			this.agents[rank].receive(message);
		});
		return planner.isAlive;
	}

	private deliverDue(): void {
		const isDue = ({dueAt, canReceive}: (typeof this.inTransit)[number]): boolean => dueAt <= this.now && canReceive();
		const due = this.inTransit.filter(message => isDue(message));
		this.inTransit = this.inTransit.filter(message => !isDue(message));
		for (const {deliver} of due) {
			deliver();
		}
	}

	private send(canReceive: () => boolean, deliver: () => void): void {
		if (this.latencyMs === 0 && canReceive()) {
			deliver();
		} else {
			this.inTransit.push({dueAt: this.now + this.latencyMs, canReceive, deliver});
		}
	}

	private report(rank: number, message: LinkMessage): boolean {
		const planner = this.followed[rank];
		if (!planner?.isAlive || planner.isSuspended || this.random() < this.lossShare) {
			return false;
		}

		this.send(() => planner.isAlive && !planner.isSuspended, () => {
			if (message.type === 'rank-status') {
				planner.controller.handleReport(message, this.now + planner.clockOffsetMs);
			} else if (message.type === 'rank-outcome') {
				planner.controller.handleOutcome(message);
			}
		});
		return true;
	}
}
