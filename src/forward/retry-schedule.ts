type Wish = {
	/** When the next place comes, and the latest time to which the caller would wait, milliseconds from now. */
	readonly earliestMs: number;
	readonly latestMs: number;
	/** Time between two places that callers of this entry may have, milliseconds. */
	readonly intervalMs: number;
};

/**
 * Pattern: targets take so many requests a second, and more callers come. Told all the same time, they would come together and be
 * refused again but for the first; so each is told the time of a place of its own. For whom none comes in time may still find one
 * that another does not use, and comes at any moment until the end of its time.
 */
export class RetrySchedule {
	/** When the next place is that no caller of a service has been told, milliseconds. */
	private readonly next = new Map<string, number>();

	/**
	 * Decides when a caller of a service should come back.
	 *
	 * @param chance - a number from 0 to 1
	 * @returns milliseconds from now
	 */
	reserve(service: string, {earliestMs, latestMs, intervalMs}: Wish, chance: number, now: number): number {
		const at = Math.max(now + earliestMs, this.next.get(service) ?? 0);
		if (at > now + latestMs || !Number.isFinite(intervalMs)) {
			return earliestMs + (chance * Math.max(0, latestMs - earliestMs));
		}

		this.next.set(service, at + intervalMs);
		return at - now;
	}
}
