type RetryWindow = {
	/** Earliest time of a retry: when targets take requests again, milliseconds from now. */
	readonly earliestMs: number;
	/** Latest time of a retry: as long as the caller waits, milliseconds from now. */
	readonly latestMs: number;
	/** Time between two requests that targets take from this entry, milliseconds. */
	readonly intervalMs: number;
};

/**
 * Spreads retries at the rate that rate-limited targets accept. If all callers were given the same time, all but the
 * first would be refused again, so each gets a time of its own. A caller for which no time is left within its window
 * retries at a random time in it, since others may not use theirs.
 */
export class RetrySchedule {
	/** By service, the next time that is not reserved yet, milliseconds. */
	private readonly nextAt = new Map<string, number>();

	/**
	 * Reserves a time at which a caller of a service should retry.
	 *
	 * @param chance - a random number from 0 to 1
	 * @returns milliseconds from now
	 */
	reserve(service: string, {earliestMs, latestMs, intervalMs}: RetryWindow, chance: number, now: number): number {
		const at = Math.max(now + earliestMs, this.nextAt.get(service) ?? 0);
		if (at > now + latestMs || !Number.isFinite(intervalMs)) {
			return earliestMs + (chance * Math.max(0, latestMs - earliestMs));
		}

		this.nextAt.set(service, at + intervalMs);
		return at - now;
	}
}
