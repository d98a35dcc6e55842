import {evictOldest} from './evict-oldest.js';
import {formatIncarnation} from './format-incarnation.js';
import {type LostRequest} from './lost-request.js';
import {PartBlocks} from './part-blocks.js';
import {PartCrashRecord} from './part-crash-record.js';
import {type PartDigest} from './part-digest.js';
import {PartEvidence} from './part-evidence.js';
import {PartTrials} from './part-trials.js';
import {type PartVerdict} from './part-verdict.js';
import {RequestContrast} from './request-contrast.js';
import {SoundParts} from './sound-parts.js';

type Question = Parameters<PartBlocks['getWaitMs']>[1] & {
	/** Identifies the request, which may have begun a trial already. */
	readonly request: unknown;
};

/** A target that crashes under a part does so before it has answered for this time, milliseconds. */
const crashWindowMs = 250;
/** A part is sound once a target has been answering a request with it for this time, milliseconds. */
const soundAfterMs = 400;
/** When a request returns that meets the trial of another one, milliseconds. */
const trialWaitMs = 500;
/** Time for which a change is included in reports to peers, milliseconds: more than twice the maximum interval between reports. */
const digestRetentionMs = 3000;
/** Characters of a request's fingerprint that are kept to distinguish requests. */
const tagLength = 6;
/** Maximum numbers kept, and in one report; beyond them the oldest are evicted. */
const maximumUnsaved = 256;
const maximumDigestItems = 40;
const maximumDigestParts = 40;

type ReportedPart = readonly [part: string, tag: string, isTried?: boolean];

const toTags = (parts: readonly ReportedPart[]): Record<string, string> => Object.fromEntries(parts.map(([part, tag]) => [part, tag]));
const listTried = (parts: readonly ReportedPart[]): string[] => parts.filter(reported => reported[2]).map(([part]) => part);

/**
 * Detects parts of prompts that crash the targets that begin to answer requests with them, and blocks them.
 *
 * Every part of a request that is lost as it begins to run is a suspect, unless an answer has shown it to be sound. A suspect is sent
 * with one request at a time, so that the next crash names it or an answer clears it. Entries exchange crashes, trials and sound parts.
 */
export class PartSuspects {
	readonly trials = new PartTrials();
	/** How requests with a part fare, compared with others. */
	readonly contrast = new RequestContrast();
	private readonly blocks: PartBlocks;
	private readonly evidence = new PartEvidence({hasPart: part => this.blocks.has(part), hasCrash: crash => this.isExplained(crash)});
	private readonly sound = new SoundParts();
	/** Suspects that were found to be sound, and when, milliseconds. */
	private readonly cleared = new Map<string, number>();
	/** Crashes whose records in the store are out of date. */
	private readonly unsaved = new Set<string>();

	constructor(log: (message: string) => void) {
		this.blocks = new PartBlocks({
			contrast: this.contrast,
			onBlock: part => {
				this.trials.settle(part);
			},
			onConfirm: crash => {
				this.noteUnsaved(crash);
			},
			onForget: part => {
				this.evidence.clear(part);
			},
			log,
		});
	}

	/** Number of parts that are refused. */
	get size(): number {
		return this.blocks.size;
	}

	/** Whether a crash is explained by a part that is refused. */
	isExplained(crash: string): boolean {
		return this.blocks.isExplained(crash);
	}

	/** Decides whether a request may be sent; `now` in milliseconds. */
	judge(question: Question, now: number): PartVerdict {
		const {request, parts} = question;
		const suspected = parts.filter(part => this.evidence.has(part));
		for (const part of suspected) {
			const waitMs = this.blocks.getWaitMs(part, question, now);
			if (waitMs > 0) {
				return {kind: 'blocked', part, waitMs};
			}
		}

		const tried = suspected.find(part => this.trials.isTriedByOther(part, request, now));
		if (tried !== undefined) {
			return {kind: 'tried-elsewhere', part: tried, waitMs: trialWaitMs};
		}

		return suspected.length === 0 ? {kind: 'sound'} : {kind: 'trial', parts: suspected};
	}

	/** Notes that a target has been answering a request with these parts for `answeringMs`; returns whether that shows them to be sound. */
	noteAnswering(parts: readonly string[], answeringMs: number, now: number): boolean {
		if (answeringMs < soundAfterMs) {
			return false;
		}

		this.sound.countRequest(parts, now);
		for (const part of parts) {
			const crashes = this.blocks.listCrashes([part]);
			this.clear(part, now);
			for (const crash of crashes) {
				this.noteUnsaved(crash);
			}
		}

		return true;
	}

	/** Notes that a target has crashed while it ran these requests. */
	noteCrash(lostRequests: readonly LostRequest[], now: number): void {
		const blocked = new Set(this.blocks.list());
		for (const {incarnation, promptParts, triedParts, fingerprint, answeringMs} of lostRequests) {
			const hasJustBegun = answeringMs === undefined || answeringMs <= crashWindowMs;
			const tag = fingerprint.slice(0, tagLength);
			this.addCrash(formatIncarnation(incarnation), (hasJustBegun ? promptParts : []).map(part => [part, tag, triedParts.includes(part)]), now);
		}

		this.accuse(now);
		const crashes = lostRequests.map(({incarnation}) => formatIncarnation(incarnation));
		const added = this.blocks.listCrashes(this.blocks.list().filter(part => !blocked.has(part)));
		for (const crash of [...crashes, ...added].filter(found => this.getRecord(found))) {
			this.noteUnsaved(crash);
		}
	}

	/** Gets the digest for peers; `isFull` includes all blocked parts, for a peer that may not have received any report yet. */
	getDigest(isFull: boolean, now: number): PartDigest {
		const recent = this.evidence.listChanged(now - digestRetentionMs);
		const explained = isFull ? this.blocks.listCrashes(this.blocks.list()) : [];
		const reported = [...new Set([...explained, ...recent])].slice(-maximumDigestItems);
		const partCrashes = reported.map(crash => [crash, this.listReported(crash, recent.includes(crash))] as const);
		const triedParts = partCrashes.map(([crash, parts]) => [crash, listTried(parts)] as const).filter(([, parts]) => parts.length > 0);
		const soundParts = [...this.cleared].filter(([, at]) => now - at <= digestRetentionMs).slice(-maximumDigestItems).map(([part]) => part);
		const refusedParts = this.blocks.listConfirmed(isFull ? Number.POSITIVE_INFINITY : digestRetentionMs, now).slice(-maximumDigestItems);
		const trialParts = this.trials.list(now).slice(-maximumDigestItems);
		return {
			...(partCrashes.length > 0 && {partCrashes: Object.fromEntries(partCrashes.map(([crash, parts]) => [crash, toTags(parts)]))}),
			...(triedParts.length > 0 && {triedParts: Object.fromEntries(triedParts)}),
			...(refusedParts.length > 0 && {refusedParts}),
			...(soundParts.length > 0 && {soundParts}),
			...(trialParts.length > 0 && {trialParts}),
		};
	}

	/** Merges a peer's digest. Suspects that this entry knows to be sound are reported back. */
	merge({partCrashes, triedParts, refusedParts, soundParts, trialParts}: PartDigest, now: number): void {
		this.noteConfirmed(refusedParts ?? [], now);
		for (const part of soundParts ?? []) {
			this.clear(part, now);
		}

		const hasChanged = Object.entries(partCrashes ?? {}).map(([crash, parts]) => {
			const tagged = Object.entries(parts).map(([part, tag]) => [part, tag, triedParts?.[crash]?.includes(part) ?? false] as const);
			return this.addCrash(crash, tagged, now);
		}).some(Boolean);
		if (hasChanged) {
			this.accuse(now);
		}

		this.trials.notePeer(trialParts ?? [], now);
	}

	/** Takes a crash whose record in the store is out of date; undefined if there is none. */
	takeUnsaved(): string | undefined {
		const [crash] = this.unsaved;
		this.unsaved.delete(crash);
		return crash;
	}

	/** Notes that the record of a crash in the store is out of date. */
	noteUnsaved(crash: string): void {
		this.unsaved.add(crash);
		evictOldest(this.unsaved, maximumUnsaved);
	}

	/** Gets what the store is to hold of a crash; undefined if nothing, since no part is held against it. */
	getRecord(crash: string): PartCrashRecord | undefined {
		const parts = this.listReported(crash, true);
		if (parts.length === 0) {
			return undefined;
		}

		const tried = listTried(parts);
		return {parts: toTags(parts), ...(tried.length > 0 && {tried}), refused: parts.map(([part]) => part).filter(part => this.blocks.isConfirmed(part))};
	}

	/** Merges the record of a crash that was read from the store. Throws if it is not valid. */
	mergeRecord(crash: string, document: unknown, now: number): void {
		const {parts, tried, refused} = PartCrashRecord.parse(document);
		this.noteConfirmed(refused, now);
		this.merge({partCrashes: {[crash]: parts}, ...(tried && {triedParts: {[crash]: tried}})}, now);
	}

	/** Lists the crashes that the store is to hold records of for as long as a part is refused. */
	listRecorded(): string[] {
		return [...new Set(this.blocks.listCrashes(this.blocks.list()))];
	}

	/** Evicts what has expired. */
	tick(now: number): void {
		this.trials.tick(now);
		this.blocks.tick(now);
		this.evidence.prune(now);
		for (const [part, at] of this.cleared) {
			if (now - at > digestRetentionMs) {
				this.cleared.delete(part);
			}
		}
	}

	/* Lists the parts that are held against a crash, each with the tag of its request; of old crashes only those that are refused. */
	private listReported(crash: string, isRecent: boolean): ReportedPart[] {
		return this.evidence.listSuspects(crash).filter(([part]) => isRecent || this.blocks.has(part)).slice(-maximumDigestParts);
	}

	/* Returns whether anything was not known. */
	private addCrash(crash: string, parts: ReadonlyArray<readonly [string, string, boolean]>, now: number): boolean {
		for (const [part] of parts.filter(([part]) => this.sound.has(part, now))) {
			this.cleared.set(part, now);
		}

		return this.evidence.add(crash, parts.filter(([part]) => !this.sound.has(part, now)), now);
	}

	private accuse(now: number): void {
		this.blocks.accuse(this.evidence.accuse({
			isAccused: part => this.blocks.isAccused(part),
			areOthersSound: this.sound.areCommon,
		}), now);
	}

	/* Takes over what another entry has found, unless answers have shown otherwise here. */
	private noteConfirmed(parts: readonly string[], now: number): void {
		for (const part of parts) {
			if (this.sound.has(part, now)) {
				this.cleared.set(part, now);
			} else {
				this.blocks.noteConfirmed(part, now);
			}
		}
	}

	private clear(part: string, now: number): void {
		this.sound.add(part, now);
		if (!this.evidence.clear(part)) {
			return;
		}

		this.trials.settle(part);
		this.cleared.set(part, now);
		this.blocks.clear(part);
		this.accuse(now);
	}
}
