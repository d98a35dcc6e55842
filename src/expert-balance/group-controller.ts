import {type GroupListing} from '../fleet/group-listing.js';
import {type LinkMessage} from '../link/link-message.js';
import {type MessageOf} from '../link/message-of.js';
import {type ExpertMap} from '../maps/expert-map.js';
import {type BalanceSettings} from './balance-settings.js';
import {decideOrders} from './decide-orders.js';
import {LoadMeter} from './load-meter.js';
import {planGroupMap} from './plan-group-map.js';
import {type RankEngine} from './rank-engine.js';
import {type RankOrder} from './rank-order.js';
import {type RankReport} from './rank-report.js';
import {RankRoster} from './rank-roster.js';
import {SwitchPace} from './switch-pace.js';

type ControllerOptions = {
	readonly group: string;
	/** This planner's term of office; unique, and higher than those before. */
	readonly term: number;
	/** Rank beside which this planner runs. */
	readonly ownRank: () => number;
	readonly settings: BalanceSettings;
	/** Slots per rank and layer, and new experts that a change may bring to each; undefined while not known. */
	readonly getShape: () => {readonly slots: number; readonly maximumNew: number} | undefined;
	/** Sends a message to the process beside a rank; false when it is not in reach. */
	readonly send: (rank: number, message: LinkMessage) => boolean;
	/** Has an order given to an engine by a VM that runs no rank; false when none is in reach. */
	readonly giveAside: (engineAddress: string, order: RankOrder) => boolean;
	/** Reaches a rank's engine itself, when the process beside it is lost. */
	readonly openEngine: (address: string) => RankEngine;
	/** Addresses of all engines that are registered for the service; none while they are not known. */
	readonly listEngines: () => Promise<readonly string[]>;
	readonly log: (message: string) => void;
};

type Phase = ReturnType<typeof decideOrders>['phase'];

type Proposal = {
	readonly version: number;
	readonly epoch: number;
	readonly map: ExpertMap;
	readonly since: number;
	/** Copies that the rank with the most must load. */
	readonly mostCopies: number;
};

/**
 * The group is held only if every rank was heard within this time, milliseconds: a rank that is lost between the hold
 * and its arming holds all of them up. Ranks report every 40 ms then.
 */
const promptMs = 130;
/** An order that nothing was heard of is given again after this time, milliseconds. */
const repeatMs = 120;
/** The same for an order to prepare: copying takes a while, and the rank says by itself when it is done. */
const prepareRepeatMs = 480;
/** A map that is not prepared everywhere after this time is dropped, milliseconds; copying takes a few hundred. */
const prepareMs = 3000;
/**
 * Time between two signs of life while a map is prepared, milliseconds: those of before queued behind the orders to prepare,
 * and the lead of the switch would be reckoned from how long they took.
 */
const prepareSignMs = 150;
/** A hold that is not seen after this time is asked of another rank, milliseconds. */
const holdMs = 300;
/** Versions of one term: a planner does not change a map more often. */
const versionsPerTerm = 100_000;

/**
 * Plans and switches the maps of one group, for one term of office. Everything it decides on is read from the ranks,
 * so that the next planner goes on from the same.
 */
export class GroupController {
	private readonly roster: RankRoster;
	private readonly pace = new SwitchPace();
	private readonly sent = new Map<number, {readonly key: string; readonly at: number}>();
	/** Outlives an epoch: callers ask for the same after an outage, and the map that a group is formed with fits nobody. */
	private readonly meter = new LoadMeter();
	private proposal: Proposal | undefined;
	private changes = 0;
	private numbers = 0;
	private nextPlanAt = 0;
	private phase: Phase = 'rest';
	private phaseSince = 0;
	/** Whether this planner has armed a rank since it last asked for a hold, and when it did that, milliseconds. */
	private hasArmed = false;
	private heldAt = Number.NEGATIVE_INFINITY;
	private signedAt = Number.NEGATIVE_INFINITY;
	/** Whether a later term has begun, so that this planner may do nothing more. */
	private isOver = false;

	constructor(private readonly options: ControllerOptions) {
		this.roster = new RankRoster({
			...options,
			onPasses: (steps, ms) => {
				this.pace.notePasses(steps, ms);
			},
		});
	}

	/** Takes a rank's report. */
	hear(message: MessageOf<'rank-status'>, now: number): void {
		const {report, counts, term} = message;
		this.isOver ||= term > this.options.term;
		if (term < this.options.term) {
			this.options.send(report.rank, {type: 'rank-term', term: this.options.term, sentAt: now});
		}

		if (this.roster.hear(message, now)) {
			this.proposal = undefined;
			this.sent.clear();
		}

		if (counts?.epoch === this.roster.epoch) {
			this.meter.take(report.rank, counts, now);
		}
	}

	/** Hears what became of an order: what was not taken is decided on anew at once. */
	hearOutcome({rank, outcome}: MessageOf<'rank-outcome'>): void {
		this.pace.noteOrder(outcome !== 'unknown');
		if (outcome === 'taken') {
			return;
		}

		this.sent.delete(rank);
		if (outcome === 'refused' && this.phase === 'prepare') {
			this.drop(`rank ${rank} refused it`);
		}
	}

	/** The group's engines while all of its ranks are heard; undefined otherwise. */
	getListing(now: number): GroupListing | undefined {
		return this.roster.getListing(now);
	}

	/** Gives the next orders, and plans when the group rests. */
	async tick(now: number): Promise<void> {
		if (this.isOver) {
			return;
		}

		const reports = this.roster.getReports(now);
		if (!reports) {
			await this.roster.readLost(now);
			return;
		}

		const decision = this.decide(reports, now);
		this.notePhase(decision.phase, now);
		for (const {rank, order} of decision.orders) {
			this.give(rank, order, now);
		}

		if (decision.phase === 'prepare' && now - this.signedAt >= prepareSignMs) {
			this.callAll(now);
		}

		if (decision.phase === 'prepare' && this.proposal && now - this.proposal.since > prepareMs) {
			this.drop('it was not prepared in time');
		}

		if (decision.phase === 'rest' && now >= this.nextPlanAt) {
			this.nextPlanAt = now + this.options.settings.intervalMs;
			this.plan(reports, now);
		}
	}

	/* The next orders, or none while a rank that may be lost must be heard first. */
	private decide(reports: readonly RankReport[], now: number): ReturnType<typeof decideOrders> {
		const decision = decideOrders({
			reports, proposal: this.proposal, holder: this.chooseHolder(reports.length, now), leadSteps: this.pace.countLeadSteps(this.roster.getLongestWay()),
		});
		const isPrompt = this.roster.areHeardSince(now - promptMs);
		// A rank that was lost with the hold keeps all held once another is armed: each is heard once more before that.
		const isFirstArming = decision.phase === 'arm' && !this.hasArmed && this.proposal !== undefined;
		const isHeard = !isFirstArming || this.roster.areReadSince(this.heldAt);
		const mustWait = (decision.phase === 'hold' && !isPrompt) || !isHeard;
		return mustWait ? {phase: decision.phase, orders: []} : decision;
	}

	/*
	 * Another rank than the planner's own: if this VM is lost while the group is held, the process beside the holder
	 * sees it. And another one if a hold does not take effect.
	 */
	private chooseHolder(size: number, now: number): number {
		const tries = this.phase === 'hold' ? Math.floor((now - this.phaseSince) / holdMs) : 0;
		return (this.options.ownRank() + 1 + tries) % size;
	}

	private plan(reports: readonly RankReport[], now: number): void {
		const shape = this.options.getShape();
		const map = this.roster.getMap(reports);
		const loads = this.meter.get(now);
		if (!shape || loads.length !== map?.length) {
			return;
		}

		const {leastGain, leastRelief, horizonMs} = this.options.settings;
		const plan = planGroupMap({
			map,
			loads,
			slots: shape.slots,
			maximumNew: shape.maximumNew,
			leastRelief,
			paces: reports.map(({pace}) => pace),
			copyMs: this.pace.getCopyMs(),
			switchMs: this.pace.getSwitchMs(),
			horizonMs,
		});
		if (plan.skewBefore - plan.skewAfter < leastGain) {
			return;
		}

		this.changes++;
		this.proposal = {
			version: (this.options.term * versionsPerTerm) + this.changes, epoch: this.roster.epoch, map: plan.map, since: now, mostCopies: plan.mostCopies,
		};
		const promise = `${plan.copies} copies, at most ${plan.mostCopies} a rank, skew ${plan.skewBefore.toFixed(2)} to ${plan.skewAfter.toFixed(2)}`;
		this.options.log(`group ${this.options.group} epoch ${this.roster.epoch}: map ${this.proposal.version} proposed, ${promise}`);
	}

	private give(rank: number, order: RankOrder, now: number): void {
		// The step of a hold follows the newest report: each would be another order, refused because of the first.
		const key = order.type === 'prepare' ? `prepare ${order.version}` : (order.type === 'hold' ? 'hold' : JSON.stringify(order));
		const last = this.sent.get(rank);
		const waitMs = order.type === 'prepare' ? prepareRepeatMs : repeatMs;
		if (last?.key === key && now - last.at < waitMs) {
			return;
		}

		this.sent.set(rank, {key, at: now});
		this.numbers++;
		this.noteOrder(order, now);
		const engineAddress = this.roster.getEngineAddress(rank);
		// Whoever orders the hold may be lost right after it; were that a rank's VM, the group would wait for it.
		if (order.type === 'hold' && engineAddress !== undefined && this.options.giveAside(engineAddress, order)) {
			return;
		}

		const isSent = this.options.send(rank, {
			type: 'rank-order', group: this.options.group, term: this.options.term, number: this.numbers, order,
		});
		const isOutOfReach = !isSent || this.roster.isLost(rank, now);
		if (isOutOfReach && order.type !== 'prepare' && order.type !== 'hold') {
			void this.giveDirectly(rank, order);
		}
	}

	private noteOrder(order: RankOrder, now: number): void {
		if (order.type === 'hold') {
			this.hasArmed = false;
			this.heldAt = now;
			this.callAll(now);
		}

		this.hasArmed ||= order.type === 'arm';
	}

	/* Every rank reports at once, so that the wait for their word is short. */
	private callAll(now: number): void {
		this.signedAt = now;
		for (const rank of this.roster.listRanks()) {
			this.options.send(rank, {type: 'rank-term', term: this.options.term, sentAt: now});
		}
	}

	private async giveDirectly(rank: number, order: RankOrder): Promise<void> {
		const address = this.roster.getEngineAddress(rank);
		if (address === undefined) {
			return;
		}

		const outcome = await this.options.openEngine(address).order(order);
		this.options.log(`group ${this.options.group}: order ${order.type} given to rank ${rank} itself: ${outcome}`);
	}

	private drop(reason: string): void {
		if (this.proposal) {
			this.options.log(`group ${this.options.group}: map ${this.proposal.version} dropped: ${reason}`);
			this.proposal = undefined;
		}
	}

	private noteLoaded(phase: Phase, now: number): void {
		if (this.phase === 'prepare' && phase === 'hold' && this.proposal) {
			this.pace.noteCopies(this.proposal.mostCopies, now - this.phaseSince);
		}
	}

	private notePhase(phase: Phase, now: number): void {
		if (phase === this.phase) {
			return;
		}

		if (phase === 'rest' && this.proposal) {
			this.options.log(`group ${this.options.group}: map ${this.proposal.version} in force after ${Math.round(now - this.proposal.since)} ms`);
			this.proposal = undefined;
		} else if (phase !== 'rest') {
			this.noteLoaded(phase, now);
			const lateMs = Math.round(this.roster.getLongestWay());
			this.options.log(`group ${this.options.group}: ${this.phase} to ${phase} after ${Math.round(now - this.phaseSince)} ms, reports up to ${lateMs} ms late`);
		}

		this.phase = phase;
		this.phaseSince = now;
	}
}
