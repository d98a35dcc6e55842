import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {decideOrders} from '../../src/expert-balance/decide-orders.js';
import {HoldRecord} from '../../src/expert-balance/hold-record.js';
import {type RankOrder} from '../../src/expert-balance/rank-order.js';
import {type RankReport} from '../../src/expert-balance/rank-report.js';
import {LockstepGroup} from '../../stand-ins/engine/lockstep-group.js';

type Proposal = NonNullable<Parameters<typeof decideOrders>[0]['proposal']>;
type Planner = {
	readonly term: number;
	readonly holds: HoldRecord;
	/** Last report of each rank that the planner knows. */
	readonly reports: Array<RankReport | undefined>;
	/** Epochs that were claimed before its term, and those that it has claimed. */
	readonly earlier: readonly number[];
	readonly claimed: Set<number>;
	epoch: number;
	proposal: Proposal | undefined;
	proposals: number;
};
type LateOrder = {readonly rank: number; readonly order: RankOrder};

const rankCount = 3;
const map = [[[0, 1], [1, 2], [2, 0]]];
const versionsPerTerm = 1000;
/** Time of a pass, and of a turn, milliseconds: longer than experts take to be copied. */
const turnMs = 1000;
const faultyActions = 400;
const calmTurns = 400;

/**
 * A group and its planners, which act in an order drawn from a seed: planners decide by reports of any age, are replaced without notice
 * and act on, give up maps at any time, and their orders are lost, carried out, or carried out again later.
 */
export class SwitchSchedule {
	readonly group: LockstepGroup;
	private readonly planners: Planner[] = [];
	/** Latest term that each rank's process knows. */
	private readonly knownTerms = Array.from({length: rankCount}, () => 0);
	private readonly claimed = new Set<number>();
	private readonly late: LateOrder[] = [];
	private now = 0;
	private readonly random: () => number;
	private readonly shares: {readonly late: number; readonly direct: number; readonly elected: number; readonly passes: number};

	constructor(seed: number) {
		const generator = xoroshiro128plus(seed);
		this.random = () => uniformFloat64(generator);
		this.group = new LockstepGroup({
			shape: {
				ranks: rankCount, layers: 1, experts: 3, slots: 2, maximumNew: 2,
			}, stepMs: 1, random: this.random, delayedShare: 0, unansweredShare: 0,
		});
		this.shares = {
			late: this.random() * 0.7, direct: this.random() * 0.5, elected: 0.002 + (this.random() * 0.02), passes: 0.05 + (this.random() * 0.3),
		};
		this.elect();
	}

	/** Runs the faulty part. */
	async runFaults(): Promise<void> {
		for (let action = 0; action < faultyActions; action++) {
			await this.act();
		}
	}

	/** Lets all late orders take effect, elects a last planner, and returns how many passes the group begins without further faults. */
	async runCalm(): Promise<number> {
		for (const {rank, order} of this.late.splice(0)) {
			await this.group.openEngine(rank).order(order);
		}

		const planner = this.elect();
		const {step} = this.group;
		for (let turn = 0; turn < calmTurns; turn++) {
			for (let rank = 0; rank < rankCount; rank++) {
				await this.report(planner, rank);
			}

			if (turn % 10 === 0) {
				this.propose(planner, false);
			}

			await this.decide(planner, false);
			this.advance();
		}

		return this.group.step - step;
	}

	private async act(): Promise<void> {
		const draw = this.random();
		const {elected, passes} = this.shares;
		if (draw < elected) {
			this.elect();
		} else if (draw < elected + passes) {
			this.advance();
		} else if (draw < elected + passes + 0.05) {
			await this.carryOutLate();
		} else if (draw < elected + passes + 0.052) {
			this.group.startNextEpoch();
		} else {
			await this.actAs(this.random() < 0.8 ? this.planners.at(-1)! : this.planners[this.pick(this.planners.length)]);
		}
	}

	private async actAs(planner: Planner): Promise<void> {
		const draw = this.random();
		if (draw < 0.45) {
			await this.report(planner, this.pick(rankCount));
		} else if (draw < 0.5) {
			await this.readDirectly(planner, this.pick(rankCount));
		} else if (draw < 0.6) {
			this.propose(planner, false);
		} else if (draw < 0.62) {
			planner.proposal = undefined;
		} else {
			await this.decide(planner, true);
		}
	}

	private async decide(planner: Planner, isFaulty: boolean): Promise<void> {
		const reports = planner.reports.filter(report => report?.epoch === planner.epoch).map(report => report!);
		if (reports.length < rankCount) {
			return;
		}

		planner.holds.noteReports(reports);
		const decision = decideOrders({
			reports, proposal: planner.proposal, holds: planner.holds, nextStep: this.findNextStep(planner, reports), holder: this.pick(rankCount),
		});
		if (decision.needsReplacement) {
			planner.proposal = undefined;
			this.propose(planner, true);
		} else if (decision.phase === 'idle') {
			planner.proposal = undefined;
		}

		for (const {rank, order} of decision.orders) {
			await this.send(planner, {rank, order}, isFaulty);
		}
	}

	/* Only the planner of the latest term can claim an epoch. */
	private findNextStep(planner: Planner, reports: readonly RankReport[]): number | undefined {
		const {epoch, earlier, claimed, holds} = planner;
		if (planner === this.planners.at(-1) && planner.proposal?.isReplacement === false) {
			claimed.add(epoch);
			this.claimed.add(epoch);
		}

		return claimed.has(epoch) ? holds.findNextStep(reports, 1 + this.pick(20), !earlier.includes(epoch)) : undefined;
	}

	/* A rank's process refuses the orders of a superseded planner; those sent directly to its engine, or through an entry, are not refused. */
	private async send(planner: Planner, {rank, order}: LateOrder, isFaulty: boolean): Promise<void> {
		const mayGoDirectly = order.type !== 'prepare' || planner.proposal?.isReplacement;
		const isDirect = isFaulty && mayGoDirectly && this.random() < this.shares.direct;
		if (!isDirect && this.knownTerms[rank] > planner.term) {
			return;
		}

		this.record(planner, order);
		const isLate = isFaulty && this.random() < this.shares.late;
		if (isLate) {
			this.late.push({rank, order});
		}

		if (!isLate || this.random() < 0.5) {
			await this.group.openEngine(rank).order(order);
		}
	}

	private record({holds}: Planner, order: RankOrder): void {
		switch (order.type) {
			case 'hold': {
				holds.noteHold(order.step);
				break;
			}

			case 'arm': {
				holds.noteArm(order.version, order.step);
				break;
			}

			case 'release': {
				holds.noteRelease(order.step);
				break;
			}

			default:
		}
	}

	private elect(): Planner {
		const planner: Planner = {
			term: this.planners.length + 1,
			holds: new HoldRecord(),
			reports: Array.from({length: rankCount}, () => undefined),
			earlier: [...this.claimed],
			claimed: new Set(),
			epoch: 0,
			proposal: undefined,
			proposals: 0,
		};
		this.planners.push(planner);
		return planner;
	}

	private propose(planner: Planner, isReplacement: boolean): void {
		if (!planner.proposal) {
			planner.proposals++;
			planner.proposal = {
				version: (planner.term * versionsPerTerm) + planner.proposals, epoch: planner.epoch, map, isReplacement,
			};
		}
	}

	private async report(planner: Planner, rank: number): Promise<void> {
		if (this.knownTerms[rank] <= planner.term) {
			this.knownTerms[rank] = planner.term;
			const report = await this.group.openEngine(rank).readReport();
			planner.reports[rank] = report;
			if (report.epoch > planner.epoch) {
				planner.epoch = report.epoch;
				planner.proposal = undefined;
				planner.holds.startEpoch();
			}
		}
	}

	/* Ranks whose process is lost are read without it. */
	private async readDirectly(planner: Planner, rank: number): Promise<void> {
		const report = await this.group.openEngine(rank).readReport();
		if (planner.reports[rank] && report.epoch === planner.epoch) {
			planner.reports[rank] = report;
		}
	}

	private async carryOutLate(): Promise<void> {
		for (const {rank, order} of this.late.splice(this.pick(this.late.length), 1)) {
			await this.group.openEngine(rank).order(order);
		}
	}

	private advance(): void {
		this.now += turnMs;
		this.group.advance(this.now);
	}

	private pick(count: number): number {
		return Math.floor(this.random() * count);
	}
}
