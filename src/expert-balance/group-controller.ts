import {type GroupListing} from '../fleet/group-listing.js';
import {type LinkMessage} from '../link/link-message.js';
import {type MessageOf} from '../link/message-of.js';
import {type ExpertMap} from '../maps/expert-map.js';
import {runGuarded} from '../log/run-guarded.js';
import {type BalanceSettings} from './balance-settings.js';
import {decideOrders} from './decide-orders.js';
import {type EpochClaim} from './epoch-claim.js';
import {HoldRecord} from './hold-record.js';
import {LoadEstimator} from './load-estimator.js';
import {planGroupMap} from './plan-group-map.js';
import {type RankEngine} from './rank-engine.js';
import {type RankOrder} from './rank-order.js';
import {type RankReport} from './rank-report.js';
import {RankTracker} from './rank-tracker.js';
import {SwitchTiming} from './switch-timing.js';

type ControllerOptions = {
	readonly group: string;
	/** This planner's term; unique, and higher than all earlier terms. */
	readonly term: number;
	/** Rank on whose VM this planner runs. */
	readonly ownRank: () => number;
	readonly settings: BalanceSettings;
	/** This planner's claim on the group's epochs. */
	readonly claim: Pick<EpochClaim, 'has' | 'isFirst'>;
	/** Slots per rank and layer, and new experts that one map change may add to each; undefined until known. */
	readonly getShape: () => {readonly slots: number; readonly maximumNew: number} | undefined;
	/** Sends a message to a rank's process; false if it is not connected. */
	readonly send: (rank: number, message: LinkMessage) => boolean;
	/** Sends an order to an engine through an entry, whose VM runs no rank; false if no entry is connected. */
	readonly orderViaEntry: (engineAddress: string, order: RankOrder) => boolean;
	/** Connects directly to a rank's engine, for ranks whose process is lost. */
	readonly openEngine: (address: string) => RankEngine;
	/** Addresses of all engines that are registered for the service; empty while they are unknown. */
	readonly listEngines: () => Promise<readonly string[]>;
	readonly log: (message: string) => void;
};

type Phase = ReturnType<typeof decideOrders>['phase'];

type Proposal = {
	readonly version: number;
	readonly epoch: number;
	readonly map: ExpertMap;
	/** Whether it only replaces prepared maps and is never put in force. */
	readonly isReplacement: boolean;
	readonly proposedAt: number;
	/** Copies that the rank with the most copies must load. */
	readonly maximumCopies: number;
};

/**
 * The group is held only if every rank's process has reported within this time, milliseconds: a rank that is lost between
 * the hold and its arming stops the whole group. Ranks report every 40 ms during a hold.
 */
const maximumReportAgeMs = 130;
/**
 * A hold that has waited this long for recent reports, milliseconds, may be ordered with reports that are this many times as old as a
 * heartbeat and the reports after it take: where the planner handles many slowly, none are younger. Heartbeats are as rare then, since their
 * reports are what it handles. With the longest age, milliseconds, a rank that is lost is still noticed.
 */
const holdPatienceMs = 400;
const roundTripsPerReportAge = 1.25;
const longestReportAgeMs = 300;
/** An order without effect or answer is sent again after this time, milliseconds. */
const orderRetryMs = 120;
/** The same for an order to prepare, milliseconds: copying takes longer, and the rank reports when it is done. */
const prepareRetryMs = 480;
/** A map that some rank has not prepared within this time is dropped, milliseconds; copying takes a few hundred. */
const prepareTimeoutMs = 3000;
/**
 * Time between two heartbeats from the first order to prepare until the hold is seen, milliseconds. Ranks that have no order to carry out
 * report less often than a hold requires, and earlier heartbeats were queued behind the orders to prepare, so that the lead of the switch
 * would be computed from their inflated round-trip time.
 */
const switchHeartbeatMs = 150;
/** A hold that no rank reports after this time is ordered at another rank, milliseconds. */
const holdTimeoutMs = 300;
/**
 * If the processes of all ranks have not reported this long after the hold was seen, milliseconds, the map is dropped and the group
 * released: a process may be lost for good, and every stream waits.
 */
const firstArmingTimeoutMs = 1000;
/** Map versions reserved for one term: more than a planner proposes in its term. */
const versionsPerTerm = 100_000;

/**
 * Plans and switches the maps of one group, for one term of its planner. It decides only on what the ranks report, so
 * that the next planner can continue from the same state.
 */
export class GroupController {
	private readonly tracker: RankTracker;
	private readonly timing = new SwitchTiming();
	private readonly lastOrders = new Map<number, {readonly key: string; readonly at: number}>();
	/** Kept across epochs: demand is the same after an outage, and the initial map of a re-formed group does not match it. */
	private readonly loadEstimator = new LoadEstimator();
	private proposal: Proposal | undefined;
	private proposalCount = 0;
	private lastOrderNumber = 0;
	private nextPlanAt = 0;
	private readonly holds = new HoldRecord();
	private phase: Phase = 'idle';
	private phaseSince = 0;
	/** Whether this planner has armed a rank since it last ordered a hold. */
	private hasArmed = false;
	/** When it last ordered a hold, milliseconds. */
	private holdOrderedAt = Number.NEGATIVE_INFINITY;
	/** When it first ordered a hold for the present switch, milliseconds; undefined before. */
	private firstHoldAt: number | undefined;
	private heartbeatSentAt = Number.NEGATIVE_INFINITY;
	/** Whether a later term has begun; this planner sends no more orders then. */
	private isSuperseded = false;

	constructor(private readonly options: ControllerOptions) {
		this.tracker = new RankTracker({
			...options,
			onPasses: (steps, ms) => {
				this.timing.recordPasses(steps, ms);
			},
		});
	}

	/** Records a rank's report. */
	handleReport(message: MessageOf<'rank-status'>, now: number): void {
		const {report, counts, term, sign} = message;
		this.isSuperseded ||= term > this.options.term;
		// Without this planner's heartbeat, the age of a report is not known.
		if (term < this.options.term || sign?.term !== this.options.term) {
			this.options.send(report.rank, {type: 'rank-term', term: this.options.term, sentAt: now});
		}

		if (this.tracker.recordReport(message, now)) {
			this.startEpoch();
		}

		if (counts?.epoch === this.tracker.epoch) {
			this.loadEstimator.record(report.rank, counts, now);
		}
	}

	/** Records the outcome of an order; an order that was not accepted may be sent again at once. */
	handleOutcome({rank, outcome}: MessageOf<'rank-outcome'>): void {
		this.timing.recordOrder(outcome !== 'unknown');
		if (outcome === 'taken') {
			return;
		}

		// A replacement is refused while a later planner's maps are prepared; it is not repeated at once.
		if (this.phase !== 'finish') {
			this.lastOrders.delete(rank);
		}

		const isPreparing = this.phase === 'prepare' || this.phase === 'finish';
		if (outcome === 'refused' && isPreparing && !this.proposal?.isReplacement) {
			this.dropProposal(`rank ${rank} refused to prepare it`);
		}
	}

	/** Returns the group's engines, or undefined while some rank has not reported recently. */
	getListing(now: number): GroupListing | undefined {
		return this.tracker.getListing(now);
	}

	/** Epoch in which this planner is about to hold the group; undefined if it is not. */
	get claimedEpoch(): number | undefined {
		return this.proposal?.isReplacement === false ? this.proposal.epoch : undefined;
	}

	/** Sends the next orders, and plans a new map while no switch is in progress. */
	async tick(now: number): Promise<void> {
		if (this.isSuperseded) {
			return;
		}

		const reports = this.tracker.getReports(now);
		if (!reports) {
			// A rank or this planner was away: that says nothing about how long arming takes.
			this.firstHoldAt = undefined;
			await this.tracker.readLostRanks(now);
			return;
		}

		this.holds.noteReports(reports);
		const decision = this.decide(reports, now);
		if (decision.needsReplacement) {
			this.proposeReplacement(reports, now);
		}

		this.updatePhase(decision.phase, reports, now);
		for (const {rank, order} of decision.orders) {
			this.sendOrder(rank, order, now);
		}

		const needsFreshReports = decision.phase === 'prepare' || decision.phase === 'hold';
		if (needsFreshReports && now - this.heartbeatSentAt >= Math.max(switchHeartbeatMs, this.getRoundTripAllowanceMs(now))) {
			this.requestReports(now);
		}

		if (decision.phase === 'prepare' && this.proposal && now - this.proposal.proposedAt > prepareTimeoutMs) {
			this.dropProposal('not all ranks prepared it in time');
		}

		if (decision.phase === 'idle' && now >= this.nextPlanAt) {
			this.nextPlanAt = now + this.options.settings.intervalMs;
			this.plan(reports, now);
		}
	}

	/* Returns the next orders, or none while a rank that may be lost must report first. */
	private decide(reports: readonly RankReport[], now: number): ReturnType<typeof decideOrders> {
		const nextStep = this.findNextStep(reports);
		if (this.phase === 'hold' && nextStep === undefined) {
			// No hold has been tried yet.
			this.phaseSince = now;
		}

		const decision = decideOrders({
			reports, proposal: this.proposal, holder: this.chooseHolder(reports.length, now), nextStep, holds: this.holds,
		});
		const areReportsRecent = this.tracker.haveReadSince(now - Math.max(maximumReportAgeMs, this.getRoundTripAllowanceMs(now)));
		// If a rank is lost during the hold, the group stays held once another is armed: every rank must report again first.
		const isFirstArming = decision.phase === 'arm' && !this.hasArmed && this.proposal !== undefined;
		const haveAllReported = !isFirstArming || this.tracker.haveReadSince(this.holdOrderedAt);
		if (!haveAllReported && this.phase === 'arm' && now - this.phaseSince > firstArmingTimeoutMs) {
			this.dropProposal('not all ranks reported during the hold');
		}

		const mustWait = (decision.phase === 'hold' && !areReportsRecent) || !haveAllReported;
		return mustWait ? {phase: decision.phase, orders: []} : decision;
	}

	private findNextStep(reports: readonly RankReport[]): number | undefined {
		const {claim} = this.options;
		const {epoch} = this.tracker;
		const leadSteps = this.timing.getLeadSteps(this.tracker.getMaximumRoundTripMs());
		return claim.has(epoch) ? this.holds.findNextStep(reports, leadSteps, claim.isFirst(epoch)) : undefined;
	}

	/* How old reports may be for a hold that has waited long, milliseconds; 0 before. */
	private getRoundTripAllowanceMs(now: number): number {
		const hasWaited = this.phase === 'hold' && now - this.phaseSince > holdPatienceMs;
		return hasWaited ? Math.min(longestReportAgeMs, roundTripsPerReportAge * this.tracker.getMaximumRoundTripMs()) : 0;
	}

	/*
	 * Chooses a rank other than the planner's own: if this VM is lost while the group is held, the holder's process notices
	 * the hold. A further rank is chosen if a hold does not take effect.
	 */
	private chooseHolder(size: number, now: number): number {
		const tries = this.phase === 'hold' ? Math.floor((now - this.phaseSince) / holdTimeoutMs) : 0;
		return (this.options.ownRank() + 1 + tries) % size;
	}

	private startEpoch(): void {
		this.proposal = undefined;
		this.lastOrders.clear();
		this.holds.startEpoch();
		this.nextPlanAt = 0;
	}

	/* The map in use, under a new version: every rank prepares it at once, and refuses to switch to what it had prepared before. */
	private proposeReplacement(reports: readonly RankReport[], now: number): void {
		const map = this.tracker.getMap(reports);
		if (map) {
			this.propose({map, isReplacement: true, maximumCopies: 0}, now);
			this.options.log(`group ${this.options.group} epoch ${this.tracker.epoch}: map ${this.proposal!.version} replaces those that were prepared, to release the group`);
		}
	}

	private propose(proposal: Pick<Proposal, 'map' | 'isReplacement' | 'maximumCopies'>, now: number): void {
		this.proposalCount++;
		this.proposal = {
			...proposal, version: (this.options.term * versionsPerTerm) + this.proposalCount, epoch: this.tracker.epoch, proposedAt: now,
		};
	}

	private plan(reports: readonly RankReport[], now: number): void {
		const shape = this.options.getShape();
		const map = this.tracker.getMap(reports);
		const loads = this.loadEstimator.getLoads(now);
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
			copyMs: this.timing.getCopyMs(),
			switchMs: this.timing.getSwitchMs(),
			horizonMs,
		});
		if (plan.skewBefore - plan.skewAfter < leastGain) {
			return;
		}

		this.propose({map: plan.map, isReplacement: false, maximumCopies: plan.maximumCopies}, now);
		const expectation = `${plan.copies} copies, at most ${plan.maximumCopies} a rank, skew ${plan.skewBefore.toFixed(2)} to ${plan.skewAfter.toFixed(2)}`;
		this.options.log(`group ${this.options.group} epoch ${this.tracker.epoch}: map ${this.proposal!.version} proposed, ${expectation}`);
	}

	private sendOrder(rank: number, order: RankOrder, now: number): void {
		// The step of a hold depends on the newest report; a repeated hold with another step would be refused because of the first.
		const key = order.type === 'prepare' ? `prepare ${order.version}` : (order.type === 'hold' ? 'hold' : JSON.stringify(order));
		const last = this.lastOrders.get(rank);
		const waitMs = order.type === 'prepare' ? prepareRetryMs : orderRetryMs;
		if (last?.key === key && now - last.at < waitMs) {
			return;
		}

		this.lastOrders.set(rank, {key, at: now});
		this.lastOrderNumber++;
		this.recordOrder(order, now);
		const engineAddress = this.tracker.getEngineAddress(rank);
		// The sender of the hold may be lost right after it. If that were a rank's VM, the group would wait for that rank.
		if (order.type === 'hold' && engineAddress !== undefined && this.options.orderViaEntry(engineAddress, order)) {
			return;
		}

		const isSent = this.options.send(rank, {
			type: 'rank-order', group: this.options.group, term: this.options.term, number: this.lastOrderNumber, order,
		});
		const isOutOfReach = !isSent || this.tracker.isLost(rank, now);
		const mayGoDirectly = order.type === 'prepare' ? this.proposal?.isReplacement : order.type !== 'hold';
		if (isOutOfReach && mayGoDirectly) {
			runGuarded(this.options.log, `order ${order.type} sent directly to rank ${rank}`, async () => this.sendOrderDirectly(rank, order));
		}
	}

	private recordOrder(order: RankOrder, now: number): void {
		if (order.type === 'hold') {
			this.hasArmed = false;
			this.holds.noteHold(order.step);
			this.holdOrderedAt = now;
			this.firstHoldAt ??= now;
			this.requestReports(now);
		}

		if (order.type === 'arm') {
			this.hasArmed = true;
			this.holds.noteArm(order.version, order.step);
		}

		if (order.type === 'release') {
			this.holds.noteRelease(order.step);
		}
	}

	/* A heartbeat makes every rank report at once. */
	private requestReports(now: number): void {
		this.heartbeatSentAt = now;
		for (const rank of this.tracker.listRanks()) {
			this.options.send(rank, {type: 'rank-term', term: this.options.term, sentAt: now});
		}
	}

	private async sendOrderDirectly(rank: number, order: RankOrder): Promise<void> {
		const address = this.tracker.getEngineAddress(rank);
		if (address === undefined) {
			return;
		}

		const outcome = await this.options.openEngine(address).order(order);
		this.options.log(`group ${this.options.group}: order ${order.type} sent directly to the engine of rank ${rank}: ${outcome}`);
	}

	private dropProposal(reason: string): void {
		if (this.proposal) {
			this.options.log(`group ${this.options.group}: map ${this.proposal.version} dropped: ${reason}`);
			this.proposal = undefined;
		}
	}

	private recordCopyTime(phase: Phase, now: number): void {
		if (this.phase === 'prepare' && phase === 'hold' && this.proposal) {
			this.timing.recordCopies(this.proposal.maximumCopies, now - this.phaseSince);
		}
	}

	private recordArmingTime(phase: Phase, now: number): void {
		if (phase === 'hold') {
			this.firstHoldAt = undefined;
		} else if (phase === 'release' && this.firstHoldAt !== undefined) {
			this.timing.recordArming(now - this.firstHoldAt);
			this.firstHoldAt = undefined;
		}
	}

	private endProposal({version, proposedAt}: Proposal, reports: readonly RankReport[], now: number): void {
		if (reports.some(({mapVersion}) => mapVersion === version)) {
			this.options.log(`group ${this.options.group}: map ${version} in force after ${Math.round(now - proposedAt)} ms`);
			this.proposal = undefined;
		} else {
			this.dropProposal('the group is not held any more');
		}
	}

	private updatePhase(phase: Phase, reports: readonly RankReport[], now: number): void {
		if (phase === this.phase) {
			return;
		}

		if (phase === 'idle' && this.proposal) {
			this.endProposal(this.proposal, reports, now);
		} else if (phase !== 'idle') {
			this.recordCopyTime(phase, now);
			this.recordArmingTime(phase, now);
			const lateMs = Math.round(this.tracker.getMaximumRoundTripMs());
			this.options.log(`group ${this.options.group}: ${this.phase} to ${phase} after ${Math.round(now - this.phaseSince)} ms, reports up to ${lateMs} ms late`);
		}

		this.phase = phase;
		this.phaseSince = now;
	}
}
