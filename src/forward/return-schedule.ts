type Wish = {
	/** When the next place comes, and the latest time to which the caller would wait, milliseconds from now. */
	readonly earliestMs: number;
	readonly latestMs: number;
	/** Time between two places that callers of this entry may have, milliseconds; 0 where places are not counted. */
	readonly intervalMs: number;
};

/**
 * Pattern: targets take so many requests a second, and more callers come. Told all the same time, they would come together and be
 * refused again but for the first; so each is told the time of a place of its own.
 */
export class ReturnSchedule {
	/** When the next place is that no caller of a service has been told, milliseconds. */
	private readonly next = new Map<string, number>();

	/** Gives when a caller of a service should come back, milliseconds from now; undefined when no place comes in its time. */
	book(service: string, {earliestMs, latestMs, intervalMs}: Wish, now: number): number | undefined {
		const at = Math.max(now + earliestMs, this.next.get(service) ?? 0);
		if (intervalMs === 0 || !Number.isFinite(intervalMs) || at > now + latestMs) {
			return undefined;
		}

		this.next.set(service, at + intervalMs);
		return at - now;
	}
}
