/** A call for changes that is unanswered for this time beyond its wait may be on a silent connection, milliseconds; a slow store takes 240. */
const overdueMs = 300;
/** A process whose periodic checks did not run for this time was paused, and its connections may be silent, milliseconds. */
const pauseMs = 1000;
/** Minimum interval between two calls that are made again because connections may be silent, milliseconds: longer than such a call may take. */
const reconnectIntervalMs = 1200;

/** Detects that the connections to the store may be silent, so that it must be called on a new one. Times are in milliseconds. */
export class SilenceDetector {
	/** When the current call for changes is overdue; undefined if there is none, or its timeout alone ends it. */
	private overdueAt: number | undefined;
	private checkedAt: number | undefined;
	private reconnectedAt = Number.NEGATIVE_INFINITY;
	/** Why connections may be silent, until the store is called on a new one. */
	private suspicion: string | undefined;

	/** Notes a call for changes whose wait ends at `waitsUntil`. */
	noteCall(waitsUntil: number): void {
		this.overdueAt = waitsUntil + overdueMs;
	}

	/** Notes that the call for changes has ended. */
	noteCallEnd(): void {
		this.overdueAt = undefined;
	}

	/** Notes that open connections may be silent. */
	noteSilence(reason: string): void {
		this.suspicion ??= reason;
	}

	/** Checks the current call, which has been waiting for `callMs`; returns why the store must be called on a new connection, undefined if it need not be. */
	check(callMs: number, now: number): string | undefined {
		const sinceMs = now - (this.checkedAt ?? now);
		this.checkedAt = now;
		if (sinceMs > pauseMs) {
			this.noteSilence(`this process was paused for ${Math.round(sinceMs)} ms`);
		} else if (this.overdueAt !== undefined && now > this.overdueAt) {
			this.noteSilence(`a call is unanswered after ${Math.round(callMs)} ms`);
		}

		return now - this.reconnectedAt >= reconnectIntervalMs ? this.takeSuspicion(now) : undefined;
	}

	private takeSuspicion(now: number): string | undefined {
		const {suspicion} = this;
		if (suspicion !== undefined) {
			this.suspicion = undefined;
			this.reconnectedAt = now;
		}

		return suspicion;
	}
}
