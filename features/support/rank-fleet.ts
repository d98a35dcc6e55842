import {setImmediate as yieldTurn} from 'node:timers/promises';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {BalanceSettings} from '../../src/expert-balance/balance-settings.js';
import {GroupController} from '../../src/expert-balance/group-controller.js';
import {type RankEngine} from '../../src/expert-balance/rank-engine.js';
import {RankMember} from '../../src/expert-balance/rank-member.js';
import {type RankOrder} from '../../src/expert-balance/rank-order.js';
import {type LinkMessage} from '../../src/link/link-message.js';
import {LockstepGroup} from '../../stand-ins/engine/lockstep-group.js';

type Planner = {readonly term: number; readonly rank: number; readonly controller: GroupController; readonly aheadMs: number; isAlive: boolean; isFrozen: boolean};

const turnMs = 20;
const shape = {
	ranks: 4, layers: 2, experts: 8, slots: 3, maximumNew: 2,
};

/** A group with the processes beside its ranks and one planner or more, joined in memory; the scenario decides what fails. */
export class RankFleet {
	now = 0;
	readonly group: LockstepGroup;
	readonly log: string[] = [];
	readonly planners: Planner[] = [];
	/** Share of the messages between processes that are lost. */
	lossShare = 0;
	/** Members that stand still. */
	readonly frozen = new Set<number>();
	readonly random: () => number;
	/** Whether an entry is there to give orders for planners, and how many it gave. */
	hasEntry = false;
	orderedAside = 0;
	/** Time that a message between processes takes, milliseconds. */
	latencyMs = 0;
	private readonly members: RankMember[] = [];
	private waiting: Array<{readonly dueAt: number; readonly isHere: () => boolean; readonly take: () => void}> = [];
	/** Planner that each member reports to. */
	private readonly followed: Array<Planner | undefined> = [];

	constructor(seed: number, passMs = 60) {
		const generator = xoroshiro128plus(seed);
		this.random = () => uniformFloat64(generator);
		this.group = new LockstepGroup({
			shape, stepMs: passMs, random: this.random, delayedShare: 0, unansweredShare: 0,
		});
		for (let rank = 0; rank < shape.ranks; rank++) {
			this.restartMember(rank);
		}
	}

	/**
	 * Begins a term of office beside a rank; the members hear of it when `follow` says so.
	 *
	 * @param aheadMs - how far the planner's clock is ahead of the others'
	 */
	elect(rank: number, aheadMs = 0): Planner {
		const term = this.planners.length + 1;
		const planner: Planner = {
			term,
			rank,
			aheadMs,
			isAlive: true,
			isFrozen: false,
			controller: new GroupController({
				group: 'group',
				term,
				ownRank: () => rank,
				settings: BalanceSettings.parse({}),
				getShape: () => shape,
				send: (to, message) => this.deliver(planner, to, message),
				giveAside: (address, order) => this.giveAside(Number(address), order),
				listEngines: async () => ['0', '1', '2', '3'],
				openEngine: address => this.openFromAfar(Number(address)),
				log: line => {
					this.log.push(`${this.now} term ${term}: ${line}`);
				},
			}),
		};
		this.planners.push(planner);
		return planner;
	}

	/** Lets a member know who is in office. */
	follow(rank: number, planner: Planner): void {
		this.followed[rank] = planner;
		this.members[rank].hearTerm(planner.term);
	}

	followAll(planner: Planner): void {
		for (const rank of this.members.keys()) {
			this.follow(rank, planner);
		}
	}

	restartMember(rank: number): void {
		this.members[rank] = new RankMember({
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
			this.members[rank].hearTerm(planner.term);
		}
	}

	/** Lets time pass. */
	async run(ms: number, cause?: () => void): Promise<void> {
		const end = this.now + ms;
		while (this.now < end) {
			this.now += turnMs;
			cause?.();
			this.group.advance(this.now);
			this.deliverWaiting();
			for (const [rank, member] of this.members.entries()) {
				if (!this.frozen.has(rank)) {
					void member.tick(this.now);
				}
			}

			for (const planner of this.planners) {
				if (planner.isAlive && !planner.isFrozen) {
					void planner.controller.tick(this.now + planner.aheadMs);
				}
			}

			await yieldTurn();
		}
	}

	/* An entry's VM gives the order; it may be lost right after. */
	private giveAside(rank: number, order: RankOrder): boolean {
		if (!this.hasEntry) {
			return false;
		}

		void this.openFromAfar(rank).order(order);
		this.orderedAside++;
		return true;
	}

	/* The engine of a VM that stands still goes on with its group, and answers nobody. */
	private openFromAfar(rank: number): RankEngine {
		const engine = this.group.openEngine(rank);
		const check = (): void => {
			if (this.frozen.has(rank)) {
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
			order: async order => this.frozen.has(rank) ? 'unknown' : engine.order(order),
		};
	}

	private deliver(planner: Planner, rank: number, message: LinkMessage): boolean {
		if (this.random() < this.lossShare) {
			return false;
		}

		// What is sent to a process that stands still waits in its socket.
		this.send(() => !this.frozen.has(rank), () => {
			this.members[rank].receive(message);
		});
		return planner.isAlive;
	}

	private deliverWaiting(): void {
		const isDue = ({dueAt, isHere}: (typeof this.waiting)[number]): boolean => dueAt <= this.now && isHere();
		const due = this.waiting.filter(message => isDue(message));
		this.waiting = this.waiting.filter(message => !isDue(message));
		for (const {take} of due) {
			take();
		}
	}

	private send(isHere: () => boolean, take: () => void): void {
		if (this.latencyMs === 0 && isHere()) {
			take();
		} else {
			this.waiting.push({dueAt: this.now + this.latencyMs, isHere, take});
		}
	}

	private report(rank: number, message: LinkMessage): boolean {
		const planner = this.followed[rank];
		if (!planner?.isAlive || planner.isFrozen || this.random() < this.lossShare) {
			return false;
		}

		this.send(() => planner.isAlive && !planner.isFrozen, () => {
			if (message.type === 'rank-status') {
				planner.controller.hear(message, this.now + planner.aheadMs);
			} else if (message.type === 'rank-outcome') {
				planner.controller.hearOutcome(message);
			}
		});
		return true;
	}
}
