import {evictOldest} from './evict-oldest.js';
import {formatIncarnation} from './format-incarnation.js';
import {type LostRequest} from './lost-request.js';
import {PartBlock} from './part-block.js';
import {PartCrashRecord} from './part-crash-record.js';
import {type PartDigest} from './part-digest.js';
import {PartEvidence} from './part-evidence.js';
import {PartTrials} from './part-trials.js';
import {type PartVerdict} from './part-verdict.js';
import {RequestContrast} from './request-contrast.js';
import {SoundParts} from './sound-parts.js';

type Question = {
	/** Identifies the request, which may have begun a trial already. */
	readonly request: unknown;
	readonly service: string;
	readonly parts: readonly string[];
	/** Whether this entry, rather than a peer, may send a request with a part whose block is over. */
	readonly mayProbe: (part: string) => boolean;
};

/** A target that crashes under a part does so before it has answered for this time, milliseconds. */
const crashWindowMs = 250;
/** A part is sound once a target has been answering a request with it for this time, milliseconds. */
const soundAfterMs = 400;
/** When a request returns that meets the trial of another one, milliseconds. */
const trialWaitMs = 500;
/** A refused part that nobody asks for any more is forgotten after this time, milliseconds. */
const blockRetentionMs = 86_400_000;
/** Time for which a change is included in reports to peers, milliseconds: more than twice the maximum interval between reports. */
const digestRetentionMs = 3000;
/** Characters of a request's fingerprint that are kept to distinguish requests. */
const tagLength = 6;
/** Maximum numbers kept, and in one report; beyond them the oldest are evicted. */
const maximumBlocks = 256;
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
	private readonly blocks = new Map<string, PartBlock>();
	private readonly evidence = new PartEvidence({hasPart: part => this.blocks.has(part), hasCrash: crash => this.isExplained(crash)});
	private readonly sound = new SoundParts();
	/** Suspects that were found to be sound, and when, milliseconds. */
	private readonly cleared = new Map<string, number>();
	/** Parts whose block another entry has confirmed, as it or the store says. */
	private readonly recorded = new Set<string>();
	/** Crashes whose records in the store are out of date. */
	private readonly unsaved = new Set<string>();

	constructor(private readonly log: (message: string) => void) {}

	/** Number of parts that are refused. */
	get size(): number {
		return this.blocks.size;
	}

	/** Whether a crash is explained by a part that is refused. */
	isExplained(crash: string): boolean {
		return [...this.blocks.values()].some(({crashes}) => crashes.has(crash));
	}

	/** Decides whether a request may be sent; `now` in milliseconds. */
	judge(question: Question, now: number): PartVerdict {
		const {request, parts} = question;
		const suspected = parts.filter(part => this.evidence.has(part));
		for (const part of suspected) {
			const waitMs = this.getBlockMs(part, question, now);
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
			const block = this.blocks.get(part);
			this.clear(part, now);
			for (const crash of block?.crashes ?? []) {
				this.noteUnsaved(crash);
			}
		}

		return true;
	}

	/** Notes that a target has crashed while it ran these requests. */
	noteCrash(lostRequests: readonly LostRequest[], now: number): void {
		const blocked = new Set(this.blocks.keys());
		for (const {incarnation, promptParts, triedParts, fingerprint, answeringMs} of lostRequests) {
			const hasJustBegun = answeringMs === undefined || answeringMs <= crashWindowMs;
			const tag = fingerprint.slice(0, tagLength);
			this.addCrash(formatIncarnation(incarnation), (hasJustBegun ? promptParts : []).map(part => [part, tag, triedParts.includes(part)]), now);
		}

		this.accuse(now);
		const crashes = lostRequests.map(({incarnation}) => formatIncarnation(incarnation));
		const added = [...this.blocks].filter(([part]) => !blocked.has(part)).flatMap(([, block]) => [...block.crashes]);
		for (const crash of [...crashes, ...added].filter(found => this.getRecord(found))) {
			this.noteUnsaved(crash);
		}
	}

	/** Gets the digest for peers; `isFull` includes all blocked parts, for a peer that may not have received any report yet. */
	getDigest(isFull: boolean, now: number): PartDigest {
		const recent = this.evidence.listChanged(now - digestRetentionMs);
		const explained = isFull ? [...this.blocks.values()].flatMap(({crashes}) => [...crashes]) : [];
		const reported = [...new Set([...explained, ...recent])].slice(-maximumDigestItems);
		const partCrashes = reported.map(crash => [crash, this.listReported(crash, recent.includes(crash))] as const);
		const triedParts = partCrashes.map(([crash, parts]) => [crash, listTried(parts)] as const).filter(([, parts]) => parts.length > 0);
		const soundParts = [...this.cleared].filter(([, at]) => now - at <= digestRetentionMs).slice(-maximumDigestItems).map(([part]) => part);
		const confirmed = [...this.blocks].filter(([, {confirmedAt}]) => confirmedAt !== undefined && (isFull || now - confirmedAt <= digestRetentionMs));
		const refusedParts = confirmed.slice(-maximumDigestItems).map(([part]) => part);
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
		return {parts: toTags(parts), ...(tried.length > 0 && {tried}), refused: parts.map(([part]) => part).filter(part => this.blocks.get(part)?.isConfirmed)};
	}

	/** Merges the record of a crash that was read from the store. Throws if it is not valid. */
	mergeRecord(crash: string, document: unknown, now: number): void {
		const {parts, tried, refused} = PartCrashRecord.parse(document);
		this.noteConfirmed(refused, now);
		this.merge({partCrashes: {[crash]: parts}, ...(tried && {triedParts: {[crash]: tried}})}, now);
	}

	/** Lists the crashes that the store is to hold records of for as long as a part is refused. */
	listRecorded(): string[] {
		return [...new Set([...this.blocks.values()].flatMap(({crashes}) => [...crashes]))];
	}

	/** Evicts what has expired. */
	tick(now: number): void {
		this.trials.tick(now);
		for (const [part, {seenAt}] of this.blocks) {
			if (now - seenAt > blockRetentionMs) {
				this.forget(part);
			}
		}

		this.evidence.prune(now);
		for (const [part, at] of this.cleared) {
			if (now - at > digestRetentionMs) {
				this.cleared.delete(part);
			}
		}
	}

	/* A request with only one of several parts that explain the same crashes shows which of them is the cause. */
	private getBlockMs(part: string, {service, parts, mayProbe}: Question, now: number): number {
		const block = this.blocks.get(part);
		if (!block) {
			return 0;
		}

		block.seenAt = now;
		if (!block.isAmbiguousFor(parts)) {
			return 0;
		}

		if (!block.isConfirmed && block.hasContrast(service)) {
			this.confirm(block, now);
		}

		return block.getWaitMs(service, this.contrast, mayProbe(part), now);
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
		const accusations = this.evidence.accuse({
			isAccused: part => this.blocks.has(part) || this.recorded.has(part),
			areOthersSound: this.sound.areCommon,
		});
		const accused = new Set(accusations.flatMap(({parts}) => parts));
		for (const part of this.blocks.keys()) {
			if (!accused.has(part)) {
				this.blocks.delete(part);
				this.log(`part ${part} is no longer refused: another part explains the crashes`);
			}
		}

		for (const {parts, crashes, events} of accusations) {
			for (const part of parts) {
				this.block(part, {crashes, events, rivals: parts.filter(other => other !== part)}, now);
			}
		}
	}

	private block(part: string, accusation: ConstructorParameters<typeof PartBlock>[1], now: number): void {
		const former = this.blocks.get(part);
		if (former?.crashes.size === accusation.crashes.size) {
			former.rivals = accusation.rivals;
			return;
		}

		const block = new PartBlock(part, accusation, this.contrast.copy(), {former, isConfirmed: this.recorded.has(part)}, now);
		this.blocks.set(part, block);
		this.trials.settle(part);
		this.log(block.describe(now));
		if (this.blocks.size > maximumBlocks) {
			this.forget([...this.blocks.keys()][0]);
		}
	}

	/* Takes over what another entry has found, unless answers have shown otherwise here. */
	private noteConfirmed(parts: readonly string[], now: number): void {
		for (const part of parts) {
			const block = this.blocks.get(part);
			if (this.sound.has(part, now)) {
				this.cleared.set(part, now);
				continue;
			}

			this.recorded.add(part);
			evictOldest(this.recorded, maximumBlocks);
			if (block && !block.isConfirmed) {
				this.confirm(block, now);
			}
		}
	}

	private confirm(block: PartBlock, now: number): void {
		block.confirm(now);
		for (const crash of block.crashes) {
			this.noteUnsaved(crash);
		}

		this.log(block.describe(now));
	}

	private clear(part: string, now: number): void {
		this.sound.add(part, now);
		if (!this.evidence.clear(part)) {
			return;
		}

		this.trials.settle(part);
		this.recorded.delete(part);
		this.cleared.set(part, now);
		if (this.blocks.delete(part)) {
			this.log(`part ${part} is no longer refused: a target has answered a request with it`);
		}

		this.accuse(now);
	}

	private forget(part: string): void {
		this.blocks.delete(part);
		this.evidence.clear(part);
	}
}
