import {accuseParts} from './accuse-parts.js';

/** What eviction spares: the parts that are refused, and the crashes that they explain. */
type Protection = {readonly hasPart: (part: string) => boolean; readonly hasCrash: (crash: string) => boolean};
/** A part, a tag of the request with it, and whether the request was sent for trial of the part. */
type TaggedPart = readonly [part: string, tag: string, isTried?: boolean];
type Judgement = Pick<Parameters<typeof accuseParts>[0], 'isAccused' | 'areOthersSound'>;

/** Crashes that are not spared are forgotten after this time, milliseconds. */
const crashRetentionMs = 600_000;
/** Maximum numbers kept; beyond them the oldest are evicted. */
const maximumCrashes = 256;
const maximumSuspects = 2048;

/** Crashes of targets, and the parts of prompts that are held against them. */
export class PartEvidence {
	/** By part, the crashes in which a request with it was lost as it began to run, and a tag of that request. */
	private readonly suspects = new Map<string, Map<string, string>>();
	/** By crashed incarnation, the parts that a request was sent for trial of, and lost in the crash. */
	private readonly tried = new Map<string, Set<string>>();
	/** By crashed incarnation, when its crash was learned, milliseconds. */
	private readonly crashTimes = new Map<string, number>();
	/** By crashed incarnation, when the parts held against it last changed, milliseconds. */
	private readonly changedAt = new Map<string, number>();

	constructor(private readonly protection: Protection) {}

	/** Whether a part is held against any crash. */
	has(part: string): boolean {
		return this.suspects.has(part);
	}

	/** Holds parts against a crash; returns whether anything was not known. `now` in milliseconds. */
	add(crash: string, parts: readonly TaggedPart[], now: number): boolean {
		let hasChanged = !this.crashTimes.has(crash);
		if (hasChanged) {
			this.crashTimes.set(crash, now);
			this.evictCrashes();
		}

		for (const [part, tag, isTried] of parts) {
			const crashes = this.suspects.get(part) ?? new Map<string, string>();
			hasChanged ||= !crashes.has(crash);
			crashes.set(crash, crashes.get(crash) ?? tag);
			this.suspects.set(part, crashes);
			const isTrialNew = this.noteTried(crash, part, isTried ?? false);
			hasChanged ||= isTrialNew;
		}

		if (hasChanged) {
			this.changedAt.set(crash, now);
			this.evictSuspects();
		}

		return hasChanged;
	}

	/** Clears a part; returns whether it was held against any crash. */
	clear(part: string): boolean {
		return this.suspects.delete(part);
	}

	/** Lists the parts that are held against a crash. */
	listSuspects(crash: string): TaggedPart[] {
		return [...this.suspects].flatMap(([part, crashes]) => crashes.has(crash) ? [[part, crashes.get(crash)!, this.isTried(part, crash)] as const] : []);
	}

	/** Lists the crashes of which something was learned since `since`, milliseconds. */
	listChanged(since: number): string[] {
		return [...this.changedAt].filter(([, at]) => at >= since).map(([crash]) => crash);
	}

	/** Finds the parts that explain the crashes. */
	accuse(judgement: Judgement): ReturnType<typeof accuseParts> {
		return accuseParts({
			suspects: this.suspects, crashTimes: this.crashTimes, isTried: (part, crash) => this.isTried(part, crash), ...judgement,
		});
	}

	/** Forgets expired crashes; `now` in milliseconds. */
	prune(now: number): void {
		for (const [crash, at] of this.crashTimes) {
			if (now - at > crashRetentionMs && !this.protection.hasCrash(crash)) {
				this.forgetCrash(crash);
			}
		}
	}

	private isTried(part: string, crash: string): boolean {
		return this.tried.get(crash)?.has(part) ?? false;
	}

	/* Returns whether that was not known. */
	private noteTried(crash: string, part: string, isTried: boolean): boolean {
		if (!isTried || this.isTried(part, crash)) {
			return false;
		}

		this.tried.set(crash, (this.tried.get(crash) ?? new Set()).add(part));
		return true;
	}

	private forgetCrash(crash: string): void {
		this.crashTimes.delete(crash);
		this.tried.delete(crash);
		this.changedAt.delete(crash);
		for (const [part, crashes] of this.suspects) {
			crashes.delete(crash);
			if (crashes.size === 0) {
				this.suspects.delete(part);
			}
		}
	}

	private evictCrashes(): void {
		if (this.crashTimes.size > maximumCrashes) {
			const crashes = [...this.crashTimes.keys()];
			this.forgetCrash(crashes.find(crash => !this.protection.hasCrash(crash)) ?? crashes[0]);
		}
	}

	private evictSuspects(): void {
		while (this.suspects.size > maximumSuspects) {
			const parts = [...this.suspects.keys()];
			this.suspects.delete(parts.find(part => !this.protection.hasPart(part)) ?? parts[0]);
		}
	}
}
