import {evictOldest} from './evict-oldest.js';

/** Time for which a part counts as sound after the last answer that showed it, milliseconds. */
const retentionMs = 600_000;
/** Maximum number of parts kept; beyond it those that were answered longest ago are evicted. */
const maximumParts = 16_384;
/** Weight of the newest answer in the moving average of the share of requests with a part that was not known to be sound. */
const newPartWeight = 0.1;
/** Up to this share, a request with such a part hardly meets a crash by chance. */
const rareNewPartShare = 0.25;

/** Parts of prompts that answers have shown to crash no target. */
export class SoundParts {
	/** When a part was last answered, milliseconds. */
	private readonly answeredAt = new Map<string, number>();
	/** Moving average of the share of answered requests with a part that was not known to be sound. */
	private newPartShare = 1;

	/** Whether nearly all requests have parts that are known to be sound. */
	get areCommon(): boolean {
		return this.newPartShare <= rareNewPartShare;
	}

	has(part: string, now: number): boolean {
		return now - (this.answeredAt.get(part) ?? Number.NEGATIVE_INFINITY) <= retentionMs;
	}

	/** Counts an answered request with these parts, before they are added; `now` in milliseconds. */
	countRequest(parts: readonly string[], now: number): void {
		const isNew = parts.some(part => !this.has(part, now));
		this.newPartShare += newPartWeight * ((isNew ? 1 : 0) - this.newPartShare);
	}

	/** Adds a part that this process or a peer knows to be sound; `now` in milliseconds. */
	add(part: string, now: number): void {
		this.answeredAt.delete(part);
		this.answeredAt.set(part, now);
		evictOldest(this.answeredAt, maximumParts);
	}
}
