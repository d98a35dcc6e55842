/** A token bucket; amounts may be fractions. */
export class TokenBucket {
	private level: number;
	private updatedAt: number;

	/**
	 * @param rate - units per second
	 * @param burst - capacity, units
	 * @param now - the present time, milliseconds; the bucket starts full
	 */
	constructor(public rate: number, public burst: number, now: number) {
		this.level = burst;
		this.updatedAt = now;
	}

	/** Takes up to `amount` units and returns how many were available. */
	take(amount: number, now: number): number {
		this.refill(now);
		const taken = Math.max(0, Math.min(amount, this.level));
		this.level -= taken;
		return taken;
	}

	/** Returns unused units. */
	restore(amount: number): void {
		this.level = Math.min(this.burst, this.level + amount);
	}

	/** Time until `amount` units are available, milliseconds. */
	getWaitMs(amount: number, now: number): number {
		this.refill(now);
		return Math.max(0, ((amount - this.level) / this.rate) * 1000);
	}

	private refill(now: number): void {
		const elapsedSeconds = Math.max(0, now - this.updatedAt) / 1000;
		this.level = Math.min(this.burst, this.level + (elapsedSeconds * this.rate));
		this.updatedAt = now;
	}
}
