import {type ExpertCounts} from '../../src/expert-balance/expert-counts.js';
import {type RankEngine} from '../../src/expert-balance/rank-engine.js';
import {type RankOrder} from '../../src/expert-balance/rank-order.js';
import {type RankOutcome} from '../../src/expert-balance/rank-outcome.js';
import {type RankPlacement} from '../../src/expert-balance/rank-placement.js';
import {type RankReport} from '../../src/expert-balance/rank-report.js';

/** `maximumNew` is the maximum number of experts per layer that one change of the map may copy to a rank. */
type Shape = {readonly ranks: number; readonly layers: number; readonly experts: number; readonly slots: number; readonly maximumNew: number};
type RankMap = {readonly version: number; readonly experts: number[][]};
type Rank = {
	map: RankMap;
	prepared: RankMap | undefined;
	preparedAt: number;
	armed: {version: number; step: number} | undefined;
	heldStep: number | undefined;
	highestVersion: number;
	/** Orders that were begun. */
	orders: number;
	chosen: number[][];
};
type DelayedOrder = {readonly at: number; readonly rank: number; readonly order: RankOrder};
/** Whether an order gets no answer and waits until `carryOut`. */
type HoldBack = (rank: number, order: RankOrder) => boolean;

type GroupOptions = {
	/** Group name that ranks report; `group` by default. */
	readonly name?: string;
	readonly shape: Shape;
	readonly random: () => number;
	/** Time of one step, milliseconds. */
	stepMs: number;
	/** Share of the orders that get no answer and are executed 2 to 12 s later. */
	delayedShare: number;
	/** Share of the orders that are executed but get no answer. */
	unansweredShare: number;
};

/** Time to copy experts to a rank, milliseconds. */
const expertCopyMs = 200;
/** Least delay of a delayed order, and what may be added to it, milliseconds. */
const minimumDelayMs = 2000;
const delaySpreadMs = 10_000;

/** Ranks that run every step together, each with its own map; the engine takes the rank orders and does not compare maps. */
export class LockstepGroup {
	step = 0;
	epoch = 1;
	now = 0;
	/** Steps that began while ranks had different maps. */
	readonly mixedSteps: number[] = [];
	/** Longest delay of a due step because of a hold, milliseconds. */
	longestHoldMs = 0;
	/** Map changes that took effect, and accepted holds. */
	switches = 0;
	holds = 0;
	/** Chooses orders that wait until the scenario lets them take effect. */
	isHeldBack: HoldBack;
	/** The orders that wait, in order of arrival. */
	heldBack: Array<{readonly rank: number; readonly order: RankOrder}> = [];
	private ranks: Rank[] = [];
	private delayedOrders: DelayedOrder[] = [];
	private nextStepAt: number;
	private lastVersion = 0;
	private bornAt = 0;
	/** How often each expert is chosen in a step, by layer. */
	private demand: number[][] = [];

	constructor(readonly options: GroupOptions) {
		this.nextStepAt = options.stepMs;
		this.isHeldBack = () => false;
		this.shiftDemand();
		this.resetRanks();
	}

	/** Draws a new demand for each expert. */
	shiftDemand(): void {
		const {layers, experts} = this.options.shape;
		this.demand = Array.from({length: layers}, () => Array.from({length: experts}, () => Math.round(1 + (100 * (this.options.random() ** 4)))));
	}

	/** Forms the group again with the next epoch: the first map, and nothing prepared, armed or held. */
	startNextEpoch(): void {
		this.epoch++;
		this.resetRanks();
	}

	/** Restarts all engines: all state is lost, and steps and epochs start again. */
	restartEngines(): void {
		this.bornAt = this.now;
		this.epoch = 1;
		this.step = 0;
		this.resetRanks();
	}

	/** Advances time to `now`, milliseconds: executes the delayed orders that are due, and begins a due step unless the group is held. */
	advance(now: number): void {
		this.now = now;
		for (const {rank, order} of this.delayedOrders.filter(({at}) => at <= now)) {
			this.execute(rank, order);
		}

		this.delayedOrders = this.delayedOrders.filter(({at}) => at > now);
		if (now < this.nextStepAt) {
			return;
		}

		if (this.ranks.some(({heldStep}) => heldStep !== undefined && heldStep <= this.step + 1)) {
			this.longestHoldMs = Math.max(this.longestHoldMs, now - this.nextStepAt);
			return;
		}

		this.nextStepAt = now + this.options.stepMs;
		this.beginStep();
	}

	/** Number of orders that each rank has begun. */
	countOrders(): number[] {
		return this.ranks.map(({orders}) => orders);
	}

	/** Lets the orders of a type that wait take effect now. */
	carryOut(type: RankOrder['type']): void {
		const due = this.heldBack.filter(({order}) => order.type === type);
		this.heldBack = this.heldBack.filter(({order}) => order.type !== type);
		for (const {rank, order} of due) {
			this.execute(rank, order);
		}
	}

	/** Opens the engine of one rank for the rank's process. */
	openEngine(rank: number): RankEngine {
		return {
			readReport: async () => this.report(rank),
			readCounts: async (): Promise<ExpertCounts> => ({
				step: this.step, epoch: this.epoch, bornAt: this.bornAt, chosen: this.ranks[rank].chosen.map(row => [...row]),
			}),
			readPlacement: async (): Promise<RankPlacement> => ({epoch: this.epoch, version: this.ranks[rank].map.version, experts: this.ranks[rank].map.experts}),
			order: async order => this.order(rank, order),
		};
	}

	private resetRanks(): void {
		const {ranks, layers, experts} = this.options.shape;
		this.ranks = Array.from({length: ranks}, (_empty, rank) => ({
			map: {version: 0, experts: Array.from({length: layers}, () => Array.from({length: experts}, (_none, expert) => expert).filter(expert => expert % ranks === rank))},
			prepared: undefined,
			preparedAt: 0,
			armed: undefined,
			heldStep: undefined,
			highestVersion: 0,
			orders: this.ranks[rank]?.orders ?? 0,
			chosen: Array.from({length: layers}, () => Array.from({length: experts}, () => 0)),
		}));
	}

	private beginStep(): void {
		this.step++;
		for (const rank of this.ranks) {
			if (rank.armed?.step === this.step) {
				rank.map = rank.prepared!;
				rank.prepared = undefined;
				rank.armed = undefined;
			}
		}

		const [{map: {version}}] = this.ranks;
		if (this.ranks.some(({map}) => map.version !== version)) {
			this.mixedSteps.push(this.step);
		}

		this.switches += this.lastVersion === version ? 0 : 1;
		this.lastVersion = version;
		for (const {chosen} of this.ranks) {
			for (const [layer, row] of this.demand.entries()) {
				for (const [expert, count] of row.entries()) {
					chosen[layer][expert] += count;
				}
			}
		}
	}

	private report(index: number): RankReport {
		const {map, prepared, preparedAt, armed, heldStep} = this.ranks[index];
		return {
			group: this.options.name ?? 'group',
			epoch: this.epoch,
			rank: index,
			bornAt: this.bornAt,
			size: this.options.shape.ranks,
			isOpen: true,
			step: this.step,
			mapVersion: map.version,
			preparedVersion: prepared && this.now - preparedAt >= expertCopyMs ? prepared.version : undefined,
			armed: armed && {...armed},
			heldStep,
			pace: 1,
		};
	}

	private order(rank: number, order: RankOrder): RankOutcome {
		if (this.isHeldBack(rank, order)) {
			this.heldBack.push({rank, order});
			return 'unknown';
		}

		const {random, delayedShare, unansweredShare} = this.options;
		if (random() < delayedShare) {
			this.delayedOrders.push({at: this.now + minimumDelayMs + (random() * delaySpreadMs), rank, order});
			return 'unknown';
		}

		const outcome = this.execute(rank, order);
		return random() < unansweredShare ? 'unknown' : outcome;
	}

	private execute(index: number, order: RankOrder): RankOutcome {
		const rank = this.ranks[index];
		if (order.epoch !== this.epoch) {
			return 'refused';
		}

		switch (order.type) {
			case 'prepare': {
				return this.prepare(rank, index, order);
			}

			case 'arm': {
				const isPrepared = rank.prepared?.version === order.version && this.now - rank.preparedAt >= expertCopyMs;
				if (!isPrepared || order.step <= this.step) {
					return 'refused';
				}

				rank.armed = {version: order.version, step: order.step};
				rank.orders++;
				return 'taken';
			}

			case 'hold': {
				if (order.step <= this.step || (rank.heldStep !== undefined && rank.heldStep !== order.step)) {
					return 'refused';
				}

				rank.heldStep = order.step;
				rank.orders++;
				this.holds++;
				return 'taken';
			}

			case 'disarm': {
				if (rank.map.version === order.version) {
					return 'refused';
				}

				rank.armed = rank.armed?.version === order.version ? undefined : rank.armed;
				rank.orders++;
				return 'taken';
			}

			default: {
				if (rank.heldStep === order.step) {
					rank.heldStep = undefined;
					rank.orders++;
				}

				return 'taken';
			}
		}
	}

	private prepare(rank: Rank, index: number, order: Extract<RankOrder, {type: 'prepare'}>): RankOutcome {
		const {slots, maximumNew} = this.options.shape;
		const experts = order.map.map(ranks => ranks[index]);
		const isFitting = experts.every((row, layer) => row.length <= slots && row.filter(expert => !rank.map.experts[layer].includes(expert)).length <= maximumNew);
		const isFree = rank.armed === undefined;
		if (order.version <= rank.highestVersion || !isFree || !isFitting) {
			return order.version === rank.prepared?.version ? 'taken' : 'refused';
		}

		rank.highestVersion = order.version;
		rank.orders++;
		rank.prepared = {version: order.version, experts};
		rank.preparedAt = this.now;
		return 'taken';
	}
}
