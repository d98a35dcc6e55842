import {type LinkMessage} from '../link/link-message.js';
import {type MessageOf} from '../link/message-of.js';
import {runGuarded} from '../log/run-guarded.js';
import {getCountInterval} from './get-count-interval.js';
import {type RankEngine} from './rank-engine.js';
import {type RankOrder} from './rank-order.js';
import {type RankPlacement} from './rank-placement.js';
import {type RankReport} from './rank-report.js';

type AgentOptions = {
	readonly engine: RankEngine;
	readonly engineAddress: string;
	readonly clock: () => number;
	/** Sends a message to the current planner; false if none is connected. */
	readonly send: (message: LinkMessage) => boolean;
	readonly log: (message: string) => void;
};

/**
 * Bounds of the time between two reports while no switch is in progress, milliseconds. Reports are as frequent as readings
 * of the counts, which are rarer in large groups, but never so rare that one lost report makes the rank's state stale.
 */
const minimumIdleIntervalMs = 200;
const maximumIdleIntervalMs = 300;
/**
 * Time between two reports after an order in a group of up to `usualSize` ranks, and how long after the order it applies, milliseconds.
 * Reports are frequent while the group is held, since every millisecond of delay counts then; while copies are loaded and after the
 * release, only the end must be noticed. Each report costs an engine call and a message, which is most of this process's work.
 */
const intervalsAfterOrder = {
	prepare: [{untilMs: 500, intervalMs: 80}],
	hold: [{untilMs: 500, intervalMs: 40}],
	arm: [{untilMs: 120, intervalMs: 40}, {untilMs: 500, intervalMs: 80}],
	disarm: [{untilMs: 500, intervalMs: 40}],
	release: [{untilMs: 500, intervalMs: 80}],
} as const;

/**
 * Time after an order in which no counts are read, milliseconds: those of all ranks fill the planner's link for a while, and would delay
 * the reports and orders by which the group is held and armed. They follow before the next plan.
 */
const countPauses: Partial<Record<RankOrder['type'], number>> = {prepare: 1200, hold: 500, arm: 300};
/** Counts that have been due for this time are read in spite of orders, milliseconds: maps that are refused again and again need newer counts. */
const maximumCountDelayMs = 2500;
/** In larger groups reports after an order are rarer in proportion, since one planner handles those of all ranks. */
const usualSize = 24;

/**
 * Agent for one rank's engine: reports the engine's state and counts to the current planner and forwards the planner's
 * orders. It tracks the highest known term and rejects orders of earlier terms.
 */
export class RankAgent {
	/** The engine's last report. */
	report: RankReport | undefined;
	/** Since when the engine has held its group at the step of the hold, milliseconds; undefined while it does not. */
	heldSince: number | undefined;

	private highestTerm = 0;
	private nextReportAt = 0;
	private nextCountAt = 0;
	private idleIntervalMs = minimumIdleIntervalMs;
	private lastOrder: {readonly type: RankOrder['type']; readonly at: number} | undefined;
	private placement: RankPlacement | undefined;
	/** Term of the planner to which the placement was last sent. */
	private placementTerm = 0;
	/** The planner's last heartbeat, and when it was received. */
	private heartbeat: {readonly term: number; readonly sentAt: number; readonly receivedAt: number} | undefined;
	private isUnreachable = false;
	private queue: Promise<void> = Promise.resolve();
	private isBusy = false;

	constructor(private readonly options: AgentOptions) {}

	get term(): number {
		return this.highestTerm;
	}

	/** Records a planner's term, read from the store or received from the planner. */
	recordTerm(term: number): void {
		this.highestTerm = Math.max(this.highestTerm, term);
	}

	/** Handles a planner's message. Orders are forwarded one at a time. */
	receive(message: LinkMessage): void {
		switch (message.type) {
			case 'rank-term': {
				this.recordTerm(message.term);
				// A planner of an earlier term may not know yet that it is superseded.
				if (message.term === this.highestTerm) {
					this.heartbeat = {term: message.term, sentAt: message.sentAt, receivedAt: this.options.clock()};
				}

				this.nextReportAt = 0;
				break;
			}

			case 'rank-order': {
				runGuarded(this.options.log, `order ${message.order.type}`, async () => this.enqueue(async () => this.forwardOrder(message)));
				break;
			}

			default:
		}
	}

	/** Returns the time until the next report is due, milliseconds. */
	getDelayMs(now: number): number {
		return Math.max(0, this.nextReportAt - now);
	}

	/** Reports if a report is due. */
	async tick(now: number): Promise<void> {
		if (this.isBusy || now < this.nextReportAt) {
			return;
		}

		this.isBusy = true;
		this.nextReportAt = now + this.getInterval(now);
		const areCountsDue = now >= Math.max(this.nextCountAt, Math.min(this.getCountPauseEnd(), this.nextCountAt + maximumCountDelayMs));
		try {
			await this.enqueue(async () => this.sendReport(areCountsDue));
		} finally {
			this.isBusy = false;
		}
	}

	/* Runs calls of the engine one at a time; one that fails does not keep the next from running. */
	private async enqueue(call: () => Promise<void>): Promise<void> {
		const result = this.queue.then(call);
		this.queue = result.catch(() => undefined);
		await result;
	}

	private getCountPauseEnd(): number {
		return this.lastOrder ? this.lastOrder.at + (countPauses[this.lastOrder.type] ?? 0) : Number.NEGATIVE_INFINITY;
	}

	private getInterval(now: number): number {
		if (!this.lastOrder) {
			return this.idleIntervalMs;
		}

		const sinceMs = now - this.lastOrder.at;
		const intervalMs = intervalsAfterOrder[this.lastOrder.type].find(({untilMs}) => sinceMs < untilMs)?.intervalMs;
		const sizeFactor = Math.max(1, (this.report?.size ?? 0) / usualSize);
		return intervalMs === undefined ? this.idleIntervalMs : Math.min(this.idleIntervalMs, intervalMs * sizeFactor);
	}

	private async forwardOrder({group, term, number, order}: MessageOf<'rank-order'>): Promise<void> {
		if (group !== this.report?.group) {
			this.options.log(`order ${order.type} for group ${group} rejected: the rank's group is ${this.report?.group ?? 'unknown'}`);
			return;
		}

		this.recordTerm(term);
		if (term < this.highestTerm) {
			this.options.log(`order ${order.type} of term ${term} rejected: the current term is ${this.highestTerm}`);
			return;
		}

		this.lastOrder = {type: order.type, at: this.options.clock()};
		this.nextReportAt = Math.min(this.nextReportAt, this.lastOrder.at + this.getInterval(this.lastOrder.at));
		const outcome = await this.options.engine.order(order);
		if (outcome !== 'taken') {
			const subject = 'step' in order ? `for step ${order.step}` : `of map ${order.version}`;
			this.options.log(`order ${order.type} ${subject} in epoch ${order.epoch}: ${outcome}; step ${this.report?.step ?? -1} at the last report`);
		}

		this.options.send({
			type: 'rank-outcome', group, number, rank: this.report.rank, outcome,
		});
		await this.sendReport(false);
	}

	private async sendReport(areCountsDue: boolean): Promise<void> {
		const {engine, engineAddress, clock, send, log} = this.options;
		const term = this.highestTerm;
		try {
			const report = await engine.readReport();
			this.recordReport(report);
			const counts = areCountsDue && report.isOpen ? await engine.readCounts() : undefined;
			if (counts) {
				const countMs = getCountInterval(report.size, counts);
				this.nextCountAt = clock() + countMs;
				this.idleIntervalMs = Math.min(maximumIdleIntervalMs, Math.max(minimumIdleIntervalMs, countMs));
			}

			const hasMapChanged = this.placement?.version !== report.mapVersion || this.placement.epoch !== report.epoch;
			if (hasMapChanged) {
				this.placement = await engine.readPlacement();
			}

			// Sent at once when it changes, since the next map is planned from it, and to newly elected planners; later with each counts.
			const includesPlacement = areCountsDue || hasMapChanged || term !== this.placementTerm;
			const isSent = send({
				type: 'rank-status',
				term,
				engineAddress,
				sign: this.heartbeat && {term: this.heartbeat.term, sentAt: this.heartbeat.sentAt, agoMs: clock() - this.heartbeat.receivedAt},
				report,
				counts,
				placement: includesPlacement ? this.placement : undefined,
			});
			this.placementTerm = isSent && includesPlacement ? term : this.placementTerm;
			this.isUnreachable = false;
		} catch (error) {
			if (!this.isUnreachable) {
				log(`engine cannot be read: ${(error as Error).message}`);
			}

			this.isUnreachable = true;
		}
	}

	private recordReport(report: RankReport): void {
		const isWaiting = report.heldStep !== undefined && report.step >= report.heldStep - 1;
		this.heldSince = isWaiting ? (this.heldSince ?? this.options.clock()) : undefined;
		if (this.report && this.report.bornAt !== report.bornAt) {
			this.placement = undefined;
			this.nextCountAt = 0;
			this.options.log(`engine has restarted, born ${report.bornAt}`);
		}

		if (this.report && this.report.group !== report.group) {
			// Terms are numbered per group, so the highest term of the former group does not apply; orders name their group.
			this.highestTerm = 0;
		}

		this.report = report;
	}
}
