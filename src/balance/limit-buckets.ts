import {TokenBucket} from '../limits/token-bucket.js';

/** What a keeper answers: whether a request may be sent, and how long until the next one may, milliseconds. */
type Permit = {readonly isGranted: boolean; readonly nextMs: number};

type Limit = {
	readonly target: string;
	/** Requests per second that the target takes from all entries together. */
	readonly perSecond: number;
	/** Part of it that is given out here, 0 to 1. */
	readonly share: number;
};

type Bucket = {readonly tokens: TokenBucket; takenAt: number};

/**
 * Least rate at which a limited target gets requests, per second. It is its answers that tell that a limit has ended, so one that
 * takes nothing gets a request now and then.
 */
const minimumPerSecond = 0.2;
/** Permits that nobody wanted gather for so long, seconds, and one at least: demand is uneven. */
const burstSeconds = 0.25;
/** A bucket from which nothing was taken for so long is dropped, milliseconds. */
const idleMs = 60_000;

/** Gives out permits for requests to targets that name limits, at the rates that they name. */
export class LimitBuckets {
	private readonly buckets = new Map<string, Bucket>();

	/** Takes a permit for one request. */
	take({target, perSecond, share: part}: Limit, now: number): Permit {
		const rate = Math.max(minimumPerSecond, perSecond) * part;
		const {tokens} = this.get(target, rate, now);
		const waitMs = tokens.getWaitMs(1, now);
		if (waitMs > 0) {
			return {isGranted: false, nextMs: waitMs};
		}

		tokens.take(1, now);
		return {isGranted: true, nextMs: tokens.getWaitMs(1, now)};
	}

	/** Drops buckets that are not used, and those of targets that are not kept here. */
	tick(now: number, isKept: (target: string) => boolean): void {
		for (const [target, {takenAt}] of this.buckets) {
			if (now - takenAt > idleMs || !isKept(target)) {
				this.buckets.delete(target);
			}
		}
	}

	/* A new one is empty: another entry may have given out permits until just now. */
	private get(target: string, rate: number, now: number): Bucket {
		const burst = Math.max(1, burstSeconds * rate);
		const known = this.buckets.get(target);
		const bucket = known ?? {tokens: new TokenBucket(rate, burst, now), takenAt: now};
		if (!known) {
			bucket.tokens.take(burst, now);
			this.buckets.set(target, bucket);
		}

		bucket.takenAt = now;
		bucket.tokens.rate = rate;
		bucket.tokens.burst = burst;
		return bucket;
	}
}
