import {type GroupListing} from '../fleet/group-listing.js';
import {type MessageOf} from '../link/message-of.js';
import {type ExpertMap} from '../maps/expert-map.js';
import {type RankEngine} from './rank-engine.js';
import {type RankPlacement} from './rank-placement.js';
import {type RankReport} from './rank-report.js';

type TrackerOptions = {
	readonly group: string;
	/** The planner's term; reports of earlier terms are ignored. */
	readonly term: number;
	/** Connects directly to a rank's engine, for ranks whose process is lost. */
	readonly openEngine: (address: string) => RankEngine;
	/** Addresses of all engines that are registered for the service; empty while they are unknown. */
	readonly listEngines: () => Promise<readonly string[]>;
	/** Called with the number of passes that were started, and the time they took, milliseconds. */
	readonly onPasses: (steps: number, ms: number) => void;
	readonly log: (message: string) => void;
};

type TrackedRank = {
	report: RankReport;
	/** When the report was received, and the earliest time at which it can have been read, milliseconds: it may have been queued on its way. */
	receivedAt: number;
	readAt: number;
	/** When the rank's process last sent a report, milliseconds; reports can also be read directly from the engine. */
	processReceivedAt: number;
	term: number;
	engineAddress: string;
	placement: RankPlacement | undefined;
	/** Round-trip time of a heartbeat to the rank's process and its report back, milliseconds. */
	roundTripMs: number;
};

/** Older reports are stale and not used for decisions, milliseconds; ranks report every 40 during a switch. */
const maximumReportAgeMs = 600;
/** A rank whose process has not reported for this time is read and ordered directly while the group is held, milliseconds. */
const processTimeoutMs = 350;
/** If a group starts no pass for this time and not all its ranks have reported, missing ranks are searched for, milliseconds. */
const stallTimeoutMs = 300;
/** Time between two searches for missing ranks, milliseconds. */
const searchIntervalMs = 500;
/** An engine of another group is not read again within this time, milliseconds: each read over the network has a cost. */
const foreignRetryMs = 10_000;

/** Tracks the latest reports of the ranks of one group in its current epoch, and their age. */
export class RankTracker {
	/** Increases each time the group is re-formed; -1 before the first report. */
	epoch = -1;

	private readonly ranks = new Map<number, TrackedRank>();
	private step = -1;
	private stepSince = 0;
	private nextSearchAt = 0;
	private readonly pendingReads = new Set<string>();
	/** Engines of other groups, and when they were read. */
	private readonly foreign = new Map<string, number>();
	/** Engines whose last read failed. */
	private readonly unreachable = new Set<string>();

	constructor(private readonly options: TrackerOptions) {}

	/** Records a rank's report; returns whether it is the first of a new epoch or after a restart of the engine. */
	recordReport({report, placement, term, engineAddress, sign}: MessageOf<'rank-status'>, now: number): boolean {
		const known = this.ranks.get(report.rank);
		if (known && (report.bornAt ?? 0) < (known.report.bornAt ?? 0)) {
			// A late report from before the engine's restart.
			return false;
		}

		// A restarted engine has lost the state that it reported before.
		const hasRestarted = known !== undefined && known.report.bornAt !== report.bornAt;
		// A heartbeat of another term was stamped by another planner's clock. Without one of this term, the report may have waited for any time.
		const isSigned = sign?.term === this.options.term;
		const roundTripMs = isSigned ? now - sign.sentAt - sign.agoMs : 0;
		this.ranks.set(report.rank, {
			report,
			receivedAt: now,
			readAt: isSigned ? now - roundTripMs : Number.NEGATIVE_INFINITY,
			processReceivedAt: now,
			term,
			engineAddress,
			placement: placement ?? (hasRestarted ? undefined : known?.placement),
			roundTripMs,
		});
		// If all engines have restarted, epochs may start over as well.
		const isReset = report.epoch > this.epoch || hasRestarted;
		if (isReset) {
			this.epoch = report.epoch;
			this.step = -1;
		}

		this.recordStep(report, now);
		return isReset;
	}

	/** Returns all ranks that have ever reported. */
	listRanks(): number[] {
		return [...this.ranks.keys()];
	}

	/** Returns the group's engines, or undefined unless the group is open and all reports are recent. */
	getListing(now: number): GroupListing | undefined {
		const reports = this.getReports(now);
		return reports && {epoch: this.epoch, engines: reports.map(({rank}) => this.ranks.get(rank)!.engineAddress)};
	}

	/** Returns the address on which a rank's engine accepts orders. */
	getEngineAddress(rank: number): string | undefined {
		return this.ranks.get(rank)?.engineAddress;
	}

	/** Returns the reports of all ranks, or undefined unless the group is open and all reports are recent and of this term. */
	getReports(now: number): RankReport[] | undefined {
		const current = this.listCurrent().filter(({readAt, term}) => now - readAt < maximumReportAgeMs && term >= this.options.term);
		const size = current.at(0)?.report.size;
		const isComplete = current.length === size && current.every(({report}) => report.isOpen && report.size === size);
		return isComplete ? current.map(({report}) => report).toSorted((one, other) => one.rank - other.rank) : undefined;
	}

	/** Whether the last reports from all ranks' processes were read from the engines after a moment. */
	haveReadSince(moment: number): boolean {
		return this.listCurrent().every(({processReceivedAt, roundTripMs}) => processReceivedAt - roundTripMs > moment);
	}

	/** Returns the longest round-trip time of the last heartbeat and report over all ranks, milliseconds. */
	getMaximumRoundTripMs(): number {
		return Math.max(0, ...this.listCurrent().map(({roundTripMs}) => roundTripMs));
	}

	/** Whether a rank's process is considered lost. */
	isLost(rank: number, now: number): boolean {
		return now - (this.ranks.get(rank)?.processReceivedAt ?? 0) > processTimeoutMs;
	}

	/** Returns the map in use, assembled from all ranks' placements; undefined while versions differ or one is unknown. */
	getMap(reports: readonly RankReport[]): ExpertMap | undefined {
		const placements = reports.map(({rank}) => this.ranks.get(rank)?.placement);
		const version = reports[0].mapVersion;
		if (placements.some(placement => placement?.version !== version || placement.epoch !== this.epoch)) {
			return undefined;
		}

		return placements[0]!.experts.map((_experts, layer) => placements.map(placement => placement!.experts[layer]));
	}

	/** Reads the engines of ranks whose process is lost directly, while the group is held or stalled, so that it can continue. */
	async readLostRanks(now: number): Promise<void> {
		const current = this.listCurrent();
		await this.search(current, now);
		const isSwitching = current.some(({report}) => report.heldStep !== undefined || report.armed !== undefined);
		if (isSwitching) {
			const lost = current.filter(({receivedAt}) => now - receivedAt > processTimeoutMs);
			await Promise.all(lost.map(async ({engineAddress}) => this.read(engineAddress, now)));
		}
	}

	private listCurrent(): TrackedRank[] {
		return [...this.ranks.values()].filter(({report}) => report.epoch === this.epoch);
	}

	private recordStep({step, epoch}: RankReport, now: number): void {
		if (epoch !== this.epoch || step <= this.step) {
			return;
		}

		if (this.step >= 0) {
			this.options.onPasses(step - this.step, now - this.stepSince);
		}

		this.step = step;
		this.stepSince = now;
	}

	/* A rank that has not reported to this planner may be the one that holds the group. */
	private async search(current: readonly TrackedRank[], now: number): Promise<void> {
		const size = current.at(0)?.report.size ?? 0;
		const isStalled = now - this.stepSince > stallTimeoutMs && current.length < size;
		if (!isStalled || now < this.nextSearchAt) {
			return;
		}

		this.nextSearchAt = now + searchIntervalMs;
		const known = new Set(current.map(({engineAddress}) => engineAddress));
		const addresses = await this.options.listEngines();
		const isForeign = (address: string): boolean => now - (this.foreign.get(address) ?? Number.NEGATIVE_INFINITY) < foreignRetryMs;
		const unknown = addresses.filter(address => !known.has(address) && !isForeign(address));
		await Promise.all(unknown.map(async address => this.read(address, now)));
	}

	private async read(engineAddress: string, now: number): Promise<void> {
		if (this.pendingReads.has(engineAddress)) {
			return;
		}

		this.pendingReads.add(engineAddress);
		try {
			const engine = this.options.openEngine(engineAddress);
			const report = await engine.readReport();
			this.unreachable.delete(engineAddress);
			this.recordRead(report, await this.readPlacement(engine, report), engineAddress, now);
		} catch (error) {
			this.recordUnreachable(engineAddress, error as Error);
		} finally {
			this.pendingReads.delete(engineAddress);
		}
	}

	/* Read only when it is not known: each read pauses the group. */
	private async readPlacement(engine: RankEngine, report: RankReport): Promise<RankPlacement | undefined> {
		const known = this.ranks.get(report.rank)?.placement;
		const isKnown = known?.version === report.mapVersion && known.epoch === report.epoch;
		return isKnown || report.group !== this.options.group ? known : engine.readPlacement();
	}

	private recordRead(report: RankReport, placement: RankPlacement | undefined, engineAddress: string, now: number): void {
		if (report.group !== this.options.group) {
			this.foreign.set(engineAddress, now);
			return;
		}

		const known = this.ranks.get(report.rank);
		this.ranks.set(report.rank, {
			report,
			receivedAt: now,
			readAt: now,
			processReceivedAt: known?.processReceivedAt ?? Number.NEGATIVE_INFINITY,
			term: this.options.term,
			engineAddress,
			placement,
			roundTripMs: known?.roundTripMs ?? 0,
		});
	}

	private recordUnreachable(engineAddress: string, error: Error): void {
		if (!this.unreachable.has(engineAddress)) {
			this.options.log(`group ${this.options.group}: engine ${engineAddress} cannot be read: ${error.message}`);
		}

		this.unreachable.add(engineAddress);
	}
}
