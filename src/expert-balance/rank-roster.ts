import {type GroupListing} from '../fleet/group-listing.js';
import {type MessageOf} from '../link/message-of.js';
import {type ExpertMap} from '../maps/expert-map.js';
import {type RankEngine} from './rank-engine.js';
import {type RankPlacement} from './rank-placement.js';
import {type RankReport} from './rank-report.js';

type RosterOptions = {
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

type Member = {
	report: RankReport;
	/** When the report came in, and since when it was read at the earliest, milliseconds: it may have queued on its way. */
	heardAt: number;
	readAt: number;
	/** When the process beside the rank was heard last; a report may also be read without it. */
	processHeardAt: number;
	term: number;
	engineAddress: string;
	placement: RankPlacement | undefined;
	/** How long a sign of life and the report took to the rank's process and back, milliseconds. */
	wayMs: number;
};

/** A report older than this is not decided on, milliseconds; in a switch ranks report every 40. */
const freshMs = 600;
/** A rank whose process was not heard for so long is read and ordered without it while the group is held, milliseconds. */
const lostMs = 350;
/** Time after which a group that begins no pass, and whose ranks are not all heard, is looked into, milliseconds. */
const stillMs = 300;
/** Time between two readings of ranks that no process reports for, milliseconds. */
const searchMs = 500;
/** An engine that said that it is in another group is not read again within this time, milliseconds: each reading from afar has its price. */
const foreignMs = 10_000;

/** What a planner knows of the ranks of one group in its present epoch, and how old that is. */
export class RankRoster {
	/** Grows each time the group is formed anew; -1 before anything was heard. */
	epoch = -1;

	private readonly members = new Map<number, Member>();
	private step = -1;
	private stepSince = 0;
	private nextSearchAt = 0;
	private readonly asking = new Set<string>();
	/** Engines of other groups, and when they said so. */
	private readonly foreign = new Map<string, number>();
	/** Engines that did not answer when they were read last. */
	private readonly silent = new Set<string>();

	constructor(private readonly options: RosterOptions) {}

	/** Takes a rank's report; gives whether it begins another epoch, or another life of the engine. */
	hear({report, placement, term, engineAddress, sign}: MessageOf<'rank-status'>, now: number): boolean {
		const known = this.members.get(report.rank);
		if (known && (report.bornAt ?? 0) < (known.report.bornAt ?? 0)) {
			// What an engine said in its former life has come in late.
			return false;
		}

		// An engine that has started again holds nothing of what it reported before.
		const isNewLife = known !== undefined && known.report.bornAt !== report.bornAt;
		// A sign of another term was another planner's, by another clock.
		const wayMs = sign?.term === this.options.term ? now - sign.sentAt - sign.agoMs : 0;
		this.members.set(report.rank, {
			report,
			heardAt: now,
			readAt: now - wayMs,
			processHeardAt: now,
			term,
			engineAddress,
			placement: placement ?? (isNewLife ? undefined : known?.placement),
			wayMs,
		});
		// Where all engines have started again, epochs may have begun anew as well.
		const isFormed = report.epoch > this.epoch || isNewLife;
		if (isFormed) {
			this.epoch = report.epoch;
			this.step = -1;
		}

		this.noteStep(report, now);
		return isFormed;
	}

	/** Ranks that have ever been heard. */
	listRanks(): number[] {
		return [...this.members.keys()];
	}

	/** The group's engines while all ranks of an open group are heard; undefined otherwise. */
	getListing(now: number): GroupListing | undefined {
		const reports = this.getReports(now);
		return reports && {epoch: this.epoch, engines: reports.map(({rank}) => this.members.get(rank)!.engineAddress)};
	}

	/** Where a rank's engine takes orders. */
	getEngineAddress(rank: number): string | undefined {
		return this.members.get(rank)?.engineAddress;
	}

	/** The reports of all ranks of an open group, all fresh and of this term; undefined otherwise. */
	getReports(now: number): RankReport[] | undefined {
		const current = this.listCurrent().filter(({readAt, term}) => now - readAt < freshMs && term >= this.options.term);
		const size = current.at(0)?.report.size;
		const isWhole = current.length === size && current.every(({report}) => report.isOpen && report.size === size);
		return isWhole ? current.map(({report}) => report).toSorted((one, other) => one.rank - other.rank) : undefined;
	}

	/** Whether the processes beside all ranks were heard after a moment. */
	areHeardSince(moment: number): boolean {
		return this.listCurrent().every(({processHeardAt}) => processHeardAt > moment);
	}

	/** Whether what the processes beside all ranks said last was read after a moment. */
	areReadSince(moment: number): boolean {
		return this.listCurrent().every(({processHeardAt, wayMs}) => processHeardAt - wayMs > moment);
	}

	/** Longest time that the last sign of life and report took to a rank and back, milliseconds. */
	getLongestWay(): number {
		return Math.max(0, ...this.listCurrent().map(({wayMs}) => wayMs));
	}

	/** Whether the process beside a rank is taken for lost. */
	isLost(rank: number, now: number): boolean {
		return now - (this.members.get(rank)?.processHeardAt ?? 0) > lostMs;
	}

	/** The map in use, put together from all ranks; undefined while they differ or one is not known. */
	getMap(reports: readonly RankReport[]): ExpertMap | undefined {
		const placements = reports.map(({rank}) => this.members.get(rank)?.placement);
		const version = reports[0].mapVersion;
		if (placements.some(placement => placement?.version !== version || placement.epoch !== this.epoch)) {
			return undefined;
		}

		return placements[0]!.experts.map((_experts, layer) => placements.map(placement => placement!.experts[layer]));
	}

	/** Reads ranks whose processes are lost themselves, while the group is held or stands still, so that it gets on. */
	async readLost(now: number): Promise<void> {
		const current = this.listCurrent();
		await this.search(current, now);
		const isBound = current.some(({report}) => report.heldStep !== undefined || report.armed !== undefined);
		if (isBound) {
			const lost = current.filter(({heardAt}) => now - heardAt > lostMs);
			await Promise.all(lost.map(async ({engineAddress}) => this.read(engineAddress, now)));
		}
	}

	private listCurrent(): Member[] {
		return [...this.members.values()].filter(({report}) => report.epoch === this.epoch);
	}

	private noteStep({step, epoch}: RankReport, now: number): void {
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
	private async search(current: readonly Member[], now: number): Promise<void> {
		const size = current.at(0)?.report.size ?? 0;
		const isStill = now - this.stepSince > stillMs && current.length < size;
		if (!isStill || now < this.nextSearchAt) {
			return;
		}

		this.nextSearchAt = now + searchMs;
		const known = new Set(current.map(({engineAddress}) => engineAddress));
		const addresses = await this.options.listEngines();
		const isForeign = (address: string): boolean => now - (this.foreign.get(address) ?? Number.NEGATIVE_INFINITY) < foreignMs;
		const sought = addresses.filter(address => !known.has(address) && !isForeign(address));
		await Promise.all(sought.map(async address => this.read(address, now)));
	}

	private async read(engineAddress: string, now: number): Promise<void> {
		if (this.asking.has(engineAddress)) {
			return;
		}

		this.asking.add(engineAddress);
		try {
			const report = await this.options.openEngine(engineAddress).readReport();
			this.silent.delete(engineAddress);
			this.takeRead(report, engineAddress, now);
		} catch (error) {
			this.noteSilence(engineAddress, error as Error);
		} finally {
			this.asking.delete(engineAddress);
		}
	}

	private takeRead(report: RankReport, engineAddress: string, now: number): void {
		if (report.group !== this.options.group) {
			this.foreign.set(engineAddress, now);
			return;
		}

		const known = this.members.get(report.rank);
		this.members.set(report.rank, {
			report,
			heardAt: now,
			readAt: now,
			processHeardAt: known?.processHeardAt ?? Number.NEGATIVE_INFINITY,
			term: this.options.term,
			engineAddress,
			placement: known?.placement,
			wayMs: known?.wayMs ?? 0,
		});
	}

	private noteSilence(engineAddress: string, error: Error): void {
		if (!this.silent.has(engineAddress)) {
			this.options.log(`group ${this.options.group}: engine ${engineAddress} cannot be read: ${error.message}`);
		}

		this.silent.add(engineAddress);
	}
}
