import {type GroupListing} from '../fleet/group-listing.js';
import {type MessageOf} from '../link/message-of.js';
import {type ExpertMap} from '../maps/expert-map.js';
import {type RankEngine} from './rank-engine.js';
import {type RankPlacement} from './rank-placement.js';
import {type RankReport} from './rank-report.js';

type TrackerOptions = {
	readonly group: string;
	/** The planner's term: what was reported under an earlier one does not count. */
	readonly term: number;
	/** Reaches a rank's engine itself, when the process beside it is lost. */
	readonly openEngine: (address: string) => RankEngine;
	/** Addresses of all engines that are registered for the service; none while they are not known. */
	readonly listEngines: () => Promise<readonly string[]>;
	/** Told of passes that began, and the time they took, milliseconds. */
	readonly onPasses: (steps: number, ms: number) => void;
	readonly log: (message: string) => void;
};

type TrackedRank = {
	report: RankReport;
	/** When the report came in, and since when it was read at the earliest, milliseconds: it may have queued on its way. */
	receivedAt: number;
	readAt: number;
	/** When the process beside the rank was heard last; a report may also be read without it. */
	processReceivedAt: number;
	term: number;
	engineAddress: string;
	placement: RankPlacement | undefined;
	/** How long a sign of life and the report took to the rank's process and back, milliseconds. */
	roundTripMs: number;
};

/** A report older than this is not decided on, milliseconds; in a switch ranks report every 40. */
const maximumReportAgeMs = 600;
/** A rank whose process was not heard for so long is read and ordered without it while the group is held, milliseconds. */
const processTimeoutMs = 350;
/** Time after which a group that begins no pass, and whose ranks are not all heard, is looked into, milliseconds. */
const stallTimeoutMs = 300;
/** Time between two readings of ranks that no process reports for, milliseconds. */
const searchIntervalMs = 500;
/** An engine that said that it is in another group is not read again within this time, milliseconds: each reading from afar has its price. */
const foreignRetryMs = 10_000;

/** What a planner knows of the ranks of one group in its present epoch, and how old that is. */
export class RankTracker {
	/** Grows each time the group is formed anew; -1 before anything was heard. */
	epoch = -1;

	private readonly ranks = new Map<number, TrackedRank>();
	private step = -1;
	private stepSince = 0;
	private nextSearchAt = 0;
	private readonly pendingReads = new Set<string>();
	/** Engines of other groups, and when they said so. */
	private readonly foreign = new Map<string, number>();
	/** Engines that did not answer when they were read last. */
	private readonly unreachable = new Set<string>();

	constructor(private readonly options: TrackerOptions) {}

	/** Takes a rank's report; gives whether it begins another epoch, or another life of the engine. */
	recordReport({report, placement, term, engineAddress, sign}: MessageOf<'rank-status'>, now: number): boolean {
		const known = this.ranks.get(report.rank);
		if (known && (report.bornAt ?? 0) < (known.report.bornAt ?? 0)) {
			// What an engine said in its former life has come in late.
			return false;
		}

		// An engine that has started again holds nothing of what it reported before.
		const hasRestarted = known !== undefined && known.report.bornAt !== report.bornAt;
		// A sign of another term was another planner's, by another clock.
		const wayMs = sign?.term === this.options.term ? now - sign.sentAt - sign.agoMs : 0;
		this.ranks.set(report.rank, {
			report,
			receivedAt: now,
			readAt: now - wayMs,
			processReceivedAt: now,
			term,
			engineAddress,
			placement: placement ?? (hasRestarted ? undefined : known?.placement),
			roundTripMs: wayMs,
		});
		// Where all engines have started again, epochs may have begun anew as well.
		const isReset = report.epoch > this.epoch || hasRestarted;
		if (isReset) {
			this.epoch = report.epoch;
			this.step = -1;
		}

		this.recordStep(report, now);
		return isReset;
	}

	/** Ranks that have ever been heard. */
	listRanks(): number[] {
		return [...this.ranks.keys()];
	}

	/** The group's engines while all ranks of an open group are heard; undefined otherwise. */
	getListing(now: number): GroupListing | undefined {
		const reports = this.getReports(now);
		return reports && {epoch: this.epoch, engines: reports.map(({rank}) => this.ranks.get(rank)!.engineAddress)};
	}

	/** Where a rank's engine takes orders. */
	getEngineAddress(rank: number): string | undefined {
		return this.ranks.get(rank)?.engineAddress;
	}

	/** The reports of all ranks of an open group, all fresh and of this term; undefined otherwise. */
	getReports(now: number): RankReport[] | undefined {
		const current = this.listCurrent().filter(({readAt, term}) => now - readAt < maximumReportAgeMs && term >= this.options.term);
		const size = current.at(0)?.report.size;
		const isComplete = current.length === size && current.every(({report}) => report.isOpen && report.size === size);
		return isComplete ? current.map(({report}) => report).toSorted((one, other) => one.rank - other.rank) : undefined;
	}

	/** Whether the processes beside all ranks were heard after a moment. */
	haveReportedSince(moment: number): boolean {
		return this.listCurrent().every(({processReceivedAt: processHeardAt}) => processHeardAt > moment);
	}

	/** Whether what the processes beside all ranks said last was read after a moment. */
	haveReadSince(moment: number): boolean {
		return this.listCurrent().every(({processReceivedAt: processHeardAt, roundTripMs: wayMs}) => processHeardAt - wayMs > moment);
	}

	/** Longest time that the last sign of life and report took to a rank and back, milliseconds. */
	getMaximumRoundTripMs(): number {
		return Math.max(0, ...this.listCurrent().map(({roundTripMs: wayMs}) => wayMs));
	}

	/** Whether the process beside a rank is taken for lost. */
	isLost(rank: number, now: number): boolean {
		return now - (this.ranks.get(rank)?.processReceivedAt ?? 0) > processTimeoutMs;
	}

	/** The map in use, put together from all ranks; undefined while they differ or one is not known. */
	getMap(reports: readonly RankReport[]): ExpertMap | undefined {
		const placements = reports.map(({rank}) => this.ranks.get(rank)?.placement);
		const version = reports[0].mapVersion;
		if (placements.some(placement => placement?.version !== version || placement.epoch !== this.epoch)) {
			return undefined;
		}

		return placements[0]!.experts.map((_experts, layer) => placements.map(placement => placement!.experts[layer]));
	}

	/** Reads ranks whose processes are lost themselves, while the group is held or stands still, so that it gets on. */
	async readLostRanks(now: number): Promise<void> {
		const current = this.listCurrent();
		await this.search(current, now);
		const isSwitching = current.some(({report}) => report.heldStep !== undefined || report.armed !== undefined);
		if (isSwitching) {
			const lost = current.filter(({receivedAt: heardAt}) => now - heardAt > processTimeoutMs);
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

	/* A rank that no process has reported for to this planner may be the one that holds the group. */
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
		const sought = addresses.filter(address => !known.has(address) && !isForeign(address));
		await Promise.all(sought.map(async address => this.read(address, now)));
	}

	private async read(engineAddress: string, now: number): Promise<void> {
		if (this.pendingReads.has(engineAddress)) {
			return;
		}

		this.pendingReads.add(engineAddress);
		try {
			const report = await this.options.openEngine(engineAddress).readReport();
			this.unreachable.delete(engineAddress);
			this.recordRead(report, engineAddress, now);
		} catch (error) {
			this.recordUnreachable(engineAddress, error as Error);
		} finally {
			this.pendingReads.delete(engineAddress);
		}
	}

	private recordRead(report: RankReport, engineAddress: string, now: number): void {
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
			placement: known?.placement,
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
