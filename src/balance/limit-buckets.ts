import {TokenBucket} from '../limits/token-bucket.js';

/** Whether a request may be sent now, and the time until the next permit, milliseconds. Sent to peers in the message `permit`. */
type Permit = {readonly isGranted: boolean; readonly nextMs: number};

type Limit = {
	readonly target: string;
	/** Requests per second that the target accepts from all entries together. */
	readonly perSecond: number;
	/** Share of the limit that is granted by this entry, 0 to 1. */
	readonly share: number;
};

/** The permits of one target, and when one was last requested, milliseconds. */
type Bucket = {readonly tokens: TokenBucket; usedAt: number};

/**
 * Minimum rate of requests to a limited target, per second. Only the target's answers show that a limit has ended, so even a
 * target with a limit of 0 gets an occasional request.
 */
const minimumPerSecond = 0.2;
/** Capacity of a bucket in seconds of its rate, at least one permit: allows for uneven demand. */
const burstSeconds = 0.25;
/** Unused buckets are dropped after this time, milliseconds. */
const idleMs = 60_000;

/** Grants permits for requests to targets that announce rate limits, with one token bucket for each target. */
export class LimitBuckets {
	private readonly buckets = new Map<string, Bucket>();

	/** Takes a permit for one request; the permit is not granted if the bucket is empty. */
	take({target, perSecond, share}: Limit, now: number): Permit {
		const rate = Math.max(minimumPerSecond, perSecond) * share;
		const {tokens} = this.get(target, rate, now);
		const waitMs = tokens.getWaitMs(1, now);
		if (waitMs > 0) {
			return {isGranted: false, nextMs: waitMs};
		}

		tokens.take(1, now);
		return {isGranted: true, nextMs: tokens.getWaitMs(1, now)};
	}

	/** Drops unused buckets, and those of targets whose permits another entry grants. */
	tick(now: number, isOwned: (target: string) => boolean): void {
		for (const [target, {usedAt}] of this.buckets) {
			if (now - usedAt > idleMs || !isOwned(target)) {
				this.buckets.delete(target);
			}
		}
	}

	/* A new bucket is empty, because another entry may have granted permits until now. */
	private get(target: string, rate: number, now: number): Bucket {
		const burst = Math.max(1, burstSeconds * rate);
		const known = this.buckets.get(target);
		const bucket = known ?? {tokens: new TokenBucket(rate, burst, now), usedAt: now};
		if (!known) {
			bucket.tokens.take(burst, now);
			this.buckets.set(target, bucket);
		}

		bucket.usedAt = now;
		bucket.tokens.rate = rate;
		bucket.tokens.burst = burst;
		return bucket;
	}
}
