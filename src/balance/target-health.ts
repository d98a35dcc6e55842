type HealthRecord = {failureRate: number; at: number; backoffUntil: number; unreachableCount: number; latencyMs: number};

/** Weight of the newest outcome in a target's failure rate and latency. */
const newestWeight = 0.2;
/** Time in which what was seen of a target fades to about a third, milliseconds, so that it is tried again. */
const decayMs = 4000;
/** How long an unreachable target is left alone at first and at most, milliseconds. */
const initialBackoffMs = 300;
const maximumBackoffMs = 2000;

/** What this entry has seen of each target lately: failures, latency, whether it could be reached. Fades with time. */
export class TargetHealth {
	private readonly records = new Map<string, HealthRecord>();

	/** Notes an answer, or a failure that the target is to blame for. */
	noteOutcome(target: string, hasFailed: boolean, now: number): void {
		const record = this.read(target, now);
		record.failureRate += ((hasFailed ? 1 : 0) - record.failureRate) * newestWeight;
		if (!hasFailed) {
			record.unreachableCount = 0;
			record.backoffUntil = 0;
		}
	}

	/** Notes how long a target took for a whole answer, milliseconds. */
	noteLatency(target: string, latencyMs: number, now: number): void {
		const record = this.read(target, now);
		record.latencyMs += (latencyMs - record.latencyMs) * (record.latencyMs === 0 ? 1 : newestWeight);
	}

	/** Notes that a target could not be reached or has gone silent: it is left alone for a while. */
	noteUnreachable(target: string, now: number): void {
		const record = this.read(target, now);
		record.unreachableCount++;
		record.backoffUntil = now + Math.min(maximumBackoffMs, initialBackoffMs * (2 ** (record.unreachableCount - 1)));
	}

	/** Whether a target is left alone now. */
	isAvoided(target: string, now: number): boolean {
		return now < (this.records.get(target)?.backoffUntil ?? 0);
	}

	/** Share of recent requests that failed, 0 to 1. */
	getFailureRate(target: string, now: number): number {
		return this.read(target, now).failureRate;
	}

	/** Recent time for a whole answer, milliseconds; 0 when none is known. */
	getLatencyMs(target: string, now: number): number {
		return this.read(target, now).latencyMs;
	}

	/** Forgets what was seen of a target. */
	forget(target: string): void {
		this.records.delete(target);
	}

	/** Forgets targets that are gone. */
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
		const fade = Math.exp((record.at - now) / decayMs);
		record.failureRate *= fade;
		record.latencyMs *= fade;
		record.at = now;
		this.records.set(target, record);
		return record;
	}
}
