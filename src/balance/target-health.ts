/** Moving averages as of `at`, and the backoff after consecutive connection failures. Times in milliseconds. */
type HealthRecord = {failureRate: number; at: number; backoffUntil: number; unreachableCount: number; latencyMs: number};

/** Weight of the newest sample in the moving averages of failure rate and latency. */
const newestWeight = 0.2;
/** Time constant of the exponential decay of failure rate and latency, milliseconds, so that a target is tried again. */
const decayMs = 4000;
/** Backoff after a target could not be reached, milliseconds: first and maximum. It doubles with each failure. */
const initialBackoffMs = 300;
const maximumBackoffMs = 2000;

/** Recent failure rate, latency and reachability of each target, as seen by this entry. Decays with time. */
export class TargetHealth {
	private readonly records = new Map<string, HealthRecord>();

	/** Notes an answer, or a failure that is the target's fault. */
	noteOutcome(target: string, hasFailed: boolean, now: number): void {
		const record = this.read(target, now);
		record.failureRate += ((hasFailed ? 1 : 0) - record.failureRate) * newestWeight;
		if (!hasFailed) {
			record.unreachableCount = 0;
			record.backoffUntil = 0;
		}
	}

	/** Notes the time that a target took for a complete answer, milliseconds. */
	noteLatency(target: string, latencyMs: number, now: number): void {
		const record = this.read(target, now);
		record.latencyMs += (latencyMs - record.latencyMs) * (record.latencyMs === 0 ? 1 : newestWeight);
	}

	/** Notes that a target could not be reached or has stopped sending: it is in backoff for a while. */
	noteUnreachable(target: string, now: number): void {
		const record = this.read(target, now);
		record.unreachableCount++;
		record.backoffUntil = now + Math.min(maximumBackoffMs, initialBackoffMs * (2 ** (record.unreachableCount - 1)));
	}

	/** Notes that a target has sent more than any answer may have, which costs far more than an attempt that fails: it is in backoff for the maximum time. */
	noteExcess(target: string, now: number): void {
		this.read(target, now).backoffUntil = now + maximumBackoffMs;
	}

	/** Whether a target is in backoff. */
	isAvoided(target: string, now: number): boolean {
		return now < (this.records.get(target)?.backoffUntil ?? 0);
	}

	/** Share of recent requests that failed, 0 to 1. */
	getFailureRate(target: string, now: number): number {
		return this.read(target, now).failureRate;
	}

	/** Recent time for a complete answer, milliseconds; 0 when unknown. */
	getLatencyMs(target: string, now: number): number {
		return this.read(target, now).latencyMs;
	}

	/** Removes all data of a target. */
	forget(target: string): void {
		this.records.delete(target);
	}

	/** Removes targets that are no longer registered. */
	prune(isKnown: (target: string) => boolean): void {
		for (const target of this.records.keys()) {
			if (!isKnown(target)) {
				this.records.delete(target);
			}
		}
	}

	private read(target: string, now: number): HealthRecord {
		const record = this.records.get(target) ?? {
			failureRate: 0, at: now, backoffUntil: 0, unreachableCount: 0, latencyMs: 0,
		};
		const decay = Math.exp((record.at - now) / decayMs);
		record.failureRate *= decay;
		record.latencyMs *= decay;
		record.at = now;
		this.records.set(target, record);
		return record;
	}
}
