import {type LimitKind} from './limit-kind.js';
import {type Loan} from './loan.js';
import {TokenBucket} from './token-bucket.js';

type Limit = {readonly kind: LimitKind; readonly value: number};
type Permit = {readonly amount: number; readonly expiresAt: number};

/** A bucket holds this many seconds of its rate at most. */
const burstSeconds = 1;
/** A permit to run requests lapses unless it is asked for again within this time, milliseconds. */
const permitLifetimeMs = 5000;
const idleMs = 60_000;

/**
 * The home of some organisations' limits: lends units of a rate, and permits to run requests at once, to the
 * entries that ask. It keeps nothing that must outlive it. A new home may lend again what its predecessor lent within
 * the last second (rates) or the last term of permits (concurrency); no more.
 */
export class Lender {
	private readonly buckets = new Map<string, {bucket: TokenBucket; usedAt: number}>();
	private readonly permits = new Map<string, Map<string, Permit>>();

	get size(): number {
		return this.buckets.size + this.permits.size;
	}

	/**
	 * Lends to an entry.
	 *
	 * @param name - name of the limit
	 * @param limit - its kind and value, scaled to the zones that are visible
	 * @param borrower - id of the entry
	 * @param amount - units wanted; for concurrency, all permits wanted including those held
	 * @param now - the present, milliseconds
	 */
	lend(name: string, limit: Limit, borrower: string, amount: number, now: number): Loan {
		return limit.kind === 'concurrency'
			? this.lendPermits(name, limit.value, borrower, amount, now)
			: this.lendUnits(name, limit.value, amount, now);
	}

	/** Forgets limits that nobody asked for lately. */
	tick(now: number): void {
		for (const [name, {usedAt}] of this.buckets) {
			if (now - usedAt > idleMs) {
				this.buckets.delete(name);
			}
		}

		for (const [name, holders] of this.permits) {
			const isIdle = [...holders.values()].every(({expiresAt}) => now - expiresAt > idleMs);
			if (isIdle) {
				this.permits.delete(name);
			}
		}
	}

	private lendUnits(name: string, rate: number, amount: number, now: number): Loan {
		const burst = Math.max(rate * burstSeconds, 1);
		const entry = this.buckets.get(name) ?? {bucket: new TokenBucket(rate, burst, now), usedAt: now};
		entry.bucket.rate = rate;
		entry.bucket.burst = Math.max(burst, amount);
		entry.usedAt = now;
		this.buckets.set(name, entry);
		const lent = entry.bucket.take(amount, now);
		return {amount: lent, retryAfterMs: lent > 0 ? 0 : entry.bucket.getWaitMs(Math.min(amount, burst), now)};
	}

	private lendPermits(name: string, limit: number, borrower: string, amount: number, now: number): Loan {
		const holders = this.permits.get(name) ?? new Map<string, Permit>();
		let others = 0;
		for (const [holder, permit] of holders) {
			if (permit.expiresAt <= now) {
				holders.delete(holder);
			} else if (holder !== borrower) {
				others += permit.amount;
			}
		}

		const granted = Math.max(0, Math.min(amount, Math.floor(limit) - others));
		holders.set(borrower, {amount: granted, expiresAt: now + permitLifetimeMs});
		this.permits.set(name, holders);
		return {amount: granted, retryAfterMs: granted < amount ? permitLifetimeMs / 10 : 0};
	}
}
