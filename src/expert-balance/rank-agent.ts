import {type LinkMessage} from '../link/link-message.js';
import {type MessageOf} from '../link/message-of.js';
import {getCountInterval} from './get-count-interval.js';
import {type RankEngine} from './rank-engine.js';
import {type RankOrder} from './rank-order.js';
import {type RankPlacement} from './rank-placement.js';
import {type RankReport} from './rank-report.js';

type AgentOptions = {
	readonly engine: RankEngine;
	readonly engineAddress: string;
	readonly clock: () => number;
	/** Sends a message to the planner in office; false when there is none in reach. */
	readonly send: (message: LinkMessage) => boolean;
	readonly log: (message: string) => void;
};

/**
 * Time between two reports while the map rests, milliseconds: as often as counts are read, which large groups do less often,
 * but so often that two in a row fall within the time for which a planner takes a report for fresh.
 */
const minimumIdleIntervalMs = 200;
const maximumIdleIntervalMs = 300;
/**
 * Time between two reports after an order, and until when it holds, milliseconds: once the group is held each millisecond
 * counts, while copies are loaded and after the release only the end must be seen. Each report is a call of the engine and a
 * message, most of what this process costs.
 */
const intervalsAfterOrder = {
	prepare: [{untilMs: 500, intervalMs: 80}],
	hold: [{untilMs: 500, intervalMs: 40}],
	arm: [{untilMs: 120, intervalMs: 40}, {untilMs: 500, intervalMs: 80}],
	release: [{untilMs: 500, intervalMs: 80}],
} as const;

/**
 * The process beside one rank's engine: reports its state and counts to the planner in office and passes orders on.
 * It hears of planners' terms, and passes on nothing of a term that is over.
 */
export class RankAgent {
	/** The last report, for whoever watches over the planner. */
	report: RankReport | undefined;
	/** When the engine was last seen to hold its group without a planner's order, milliseconds. */
	heldSince: number | undefined;

	private highestTerm = 0;
	private nextReportAt = 0;
	private nextCountAt = 0;
	private idleIntervalMs = minimumIdleIntervalMs;
	private lastOrder: {readonly type: RankOrder['type']; readonly at: number} | undefined;
	private placement: RankPlacement | undefined;
	/** The planner's last sign of life, and when it came in. */
	private heartbeat: {readonly term: number; readonly sentAt: number; readonly receivedAt: number} | undefined;
	private isUnreachable = false;
	private queue: Promise<void> = Promise.resolve();
	private isBusy = false;

	constructor(private readonly options: AgentOptions) {}

	get term(): number {
		return this.highestTerm;
	}

	/** Learns of a planner's term, from the store or from the planner itself. */
	recordTerm(term: number): void {
		this.highestTerm = Math.max(this.highestTerm, term);
	}

	/** Takes a message of a planner. Orders are passed on one after another. */
	receive(message: LinkMessage): void {
		switch (message.type) {
			case 'rank-term': {
				this.recordTerm(message.term);
				this.heartbeat = {term: message.term, sentAt: message.sentAt, receivedAt: this.options.clock()};
				this.nextReportAt = 0;
				break;
			}

			case 'rank-order': {
				this.queue = this.queue.then(async () => this.forwardOrder(message));
				break;
			}

			default:
		}
	}

	/** Milliseconds until it is time to report again. */
	getDelayMs(now: number): number {
		return Math.max(0, this.nextReportAt - now);
	}

	/** Reports when it is time. */
	async tick(now: number): Promise<void> {
		if (this.isBusy || now < this.nextReportAt) {
			return;
		}

		this.isBusy = true;
		this.nextReportAt = now + this.getInterval(now);
		const areCountsDue = now >= this.nextCountAt;
		this.queue = this.queue.then(async () => this.sendReport(areCountsDue));
		await this.queue;
		this.isBusy = false;
	}

	private getInterval(now: number): number {
		if (!this.lastOrder) {
			return this.idleIntervalMs;
		}

		const sinceMs = now - this.lastOrder.at;
		return intervalsAfterOrder[this.lastOrder.type].find(({untilMs}) => sinceMs < untilMs)?.intervalMs ?? this.idleIntervalMs;
	}

	private async forwardOrder({group, term, number, order}: MessageOf<'rank-order'>): Promise<void> {
		if (group !== this.report?.group) {
			this.options.log(`order ${order.type} for group ${group} not passed on: the rank is in ${this.report?.group ?? 'none that is known'}`);
			return;
		}

		this.recordTerm(term);
		if (term < this.highestTerm) {
			this.options.log(`order ${order.type} of term ${term} not passed on: term ${this.highestTerm} is in office`);
			return;
		}

		this.lastOrder = {type: order.type, at: this.options.clock()};
		this.nextReportAt = Math.min(this.nextReportAt, this.lastOrder.at + intervalsAfterOrder[order.type][0].intervalMs);
		const outcome = await this.options.engine.order(order);
		if (outcome !== 'taken') {
			const target = 'step' in order ? `for step ${order.step}` : `of map ${order.version}`;
			this.options.log(`order ${order.type} ${target} in epoch ${order.epoch}: ${outcome}; step ${this.report?.step ?? -1} at the last report`);
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

			send({
				type: 'rank-status',
				term,
				engineAddress,
				sign: this.heartbeat && {term: this.heartbeat.term, sentAt: this.heartbeat.sentAt, agoMs: clock() - this.heartbeat.receivedAt},
				report,
				counts,
				// At once, so that the next map is planned from it, and again with counts, for a planner that has just begun.
				placement: areCountsDue || hasMapChanged ? this.placement : undefined,
			});
			this.isUnreachable = false;
		} catch (error) {
			if (!this.isUnreachable) {
				log(`engine does not report: ${(error as Error).message}`);
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
			this.options.log(`engine has started again, born ${report.bornAt}`);
		}

		if (this.report && this.report.group !== report.group) {
			// Terms of another group's planners say nothing of this one's, whose orders name it.
			this.highestTerm = 0;
		}

		this.report = report;
	}
}
