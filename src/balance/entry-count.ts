import {type EntryCountDigest} from './entry-count-digest.js';

/**
 * Time for which a higher number of entries is kept, milliseconds. Entries that are cut off from the others still use their part
 * of what all share, and a cut may last for minutes.
 */
const retentionMs = 3_600_000;

/** Highest number of entries known within the retention time, here or at a peer. */
export class EntryCount {
	private highest = 1;
	/** When the highest number was last observed, milliseconds. */
	private observedAt = Number.NEGATIVE_INFINITY;

	/** @param countKnown - number of entries known at present, this one included */
	constructor(private readonly countKnown: (now: number) => number) {}

	/** The number of entries that share a budget. */
	get(now: number): number {
		const known = this.countKnown(now);
		if (known >= this.highest || now - this.observedAt > retentionMs) {
			this.highest = known;
			this.observedAt = now;
		}

		return this.highest;
	}

	/** Gets the digest for peers. */
	getDigest(now: number): EntryCountDigest {
		const count = this.get(now);
		return {count, agoMs: Math.round(now - this.observedAt)};
	}

	/** Merges a peer's digest: an entry that starts during a cut does not know the entries on the other side. */
	merge({count, agoMs}: EntryCountDigest, now: number): void {
		if (count > this.get(now) && agoMs <= retentionMs) {
			this.highest = count;
			this.observedAt = now - agoMs;
		}
	}
}
