type Record = {failureRate: number; at: number; avoidUntil: number; unreachable: number; latencyMs: number};

/** Weight of the newest outcome in a target's failure rate and latency. */
const newestWeight = 0.2;
/** Time in which what was seen of a target fades to about a third, milliseconds, so that it is tried again. */
const memoryMs = 4000;
/** How long an unreachable target is left alone at first and at most, milliseconds. */
const firstAvoidMs = 300;
const longestAvoidMs = 2000;

/** What this entry has seen of each target lately: failures, latency, whether it could be reached. Fades with time. */
export class TargetHealth {
	private readonly records = new Map<string, Record>();

	/** Notes an answer, or a failure that the target is to blame for. */
	note(target: string, hasFailed: boolean, now: number): void {
		const record = this.read(target, now);
		record.failureRate += ((hasFailed ? 1 : 0) - record.failureRate) * newestWeight;
		if (!hasFailed) {
			record.unreachable = 0;
			record.avoidUntil = 0;
		}
	}

	/** Notes how long a target took for a whole answer, milliseconds. */
	noteLatency(target: string, latencyMs: number, now: number): void {
		const record = this.read(target, now);
		record.latencyMs += (latencyMs - record.latencyMs) * (record.latencyMs === 0 ? 1 : newestWeight);
	}

	/** Notes that a target could not be reached or has gone silent: it is left alone for a while. */
	avoid(target: string, now: number): void {
		const record = this.read(target, now);
		record.unreachable++;
		record.avoidUntil = now + Math.min(longestAvoidMs, firstAvoidMs * (2 ** (record.unreachable - 1)));
	}

	/** Whether a target is left alone now. */
	isAvoided(target: string, now: number): boolean {
		return now < (this.records.get(target)?.avoidUntil ?? 0);
	}

	/** Share of recent requests that failed, 0 to 1. */
	getFailureRate(target: string, now: number): number {
		return this.read(target, now).failureRate;
	}

	/** Recent time for a whole answer, milliseconds; 0 when none is known. */
	getLatency(target: string, now: number): number {
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

	private read(target: string, now: number): Record {
		const record = this.records.get(target) ?? {
			failureRate: 0, at: now, avoidUntil: 0, unreachable: 0, latencyMs: 0,
		};
		const fade = Math.exp((record.at - now) / memoryMs);
		record.failureRate *= fade;
		record.latencyMs *= fade;
		record.at = now;
		this.records.set(target, record);
		return record;
	}
}
