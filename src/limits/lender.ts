import {type LimitKind} from './limit-kind.js';
import {type Loan} from './loan.js';
import {TokenBucket} from './token-bucket.js';

/** A limit: its kind, and its value in units per second, or in concurrent requests. */
type Limit = {readonly kind: LimitKind; readonly value: number};
/** Concurrency permits of one entry, and when they expire, milliseconds. */
type Permit = {readonly amount: number; readonly expiresAt: number};

/** Capacity of a bucket in seconds of its rate. */
const burstSeconds = 1;
/** Time after which concurrency permits expire unless they are renewed, milliseconds. */
const permitLifetimeMs = 5000;
/** Buckets and expired permits that are unused for this time are dropped, milliseconds. */
const idleMs = 60_000;

/**
 * Lends units of rate limits and concurrency permits to the entries that request them. Each limit has one lending entry.
 *
 * The state need not survive a restart. A new lender may lend again what its predecessor lent within the last second (rates) or
 * within the lifetime of permits (concurrency), but no more.
 */
export class Lender {
	private readonly buckets = new Map<string, {bucket: TokenBucket; usedAt: number}>();
	private readonly permits = new Map<string, Map<string, Permit>>();

	/** Number of limits with a bucket or permits. */
	get size(): number {
		return this.buckets.size + this.permits.size;
	}

	/**
	 * Lends to an entry.
	 *
	 * @param name - name of the limit
	 * @param limit - its kind, and its value scaled to the share of the zones that are reachable
	 * @param borrower - id of the entry
	 * @param amount - units wanted; for concurrency, the total number of permits wanted, including those held
	 * @param now - the present time, milliseconds
	 */
	lend(name: string, limit: Limit, borrower: string, amount: number, now: number): Loan {
		return limit.kind === 'concurrency'
			? this.lendPermits(name, limit.value, borrower, amount, now)
			: this.lendUnits(name, limit.value, amount, now);
	}

	/** Drops limits that were not requested recently. */
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
