type ClockOptions = {
	/** The monotonic clock, milliseconds; it does not advance while the VM is suspended. */
	readonly readMonotonic: () => number;
	/** The wall clock, Unix milliseconds; it includes suspensions, and may be stepped as well. */
	readonly readWallClock: () => number;
	/** Time since the VM was booted, milliseconds; it includes suspensions. */
	readonly readUptime: () => number;
	readonly log: (message: string) => void;
};

/**
 * Tolerated difference between the advance of two clocks, milliseconds: the clocks are read one after the other, and some have
 * a coarse resolution.
 */
const toleranceMs = 200;
/** Maximum interval between comparisons with the uptime, milliseconds: a step of the wall clock can hide a suspension. */
const compareIntervalMs = 1000;
/** Comparisons that must agree before a difference counts as a suspension: on some machines the uptime is not that of the VM. */
const minimumAgreements = 3;
/**
 * Maximum time between the two readings of a comparison, milliseconds: beyond it the process was paused in between, and the
 * comparison is skipped.
 */
const maximumReadSpreadMs = 20;

/**
 * A monotonic clock that also counts the time for which the VM was suspended. Without it, peer states, the view of the store,
 * leases, cooldowns and deadlines would seem fresher after a suspension than they are.
 *
 * A jump of the wall clock triggers a comparison with the uptime, which tells a suspension from a step of the wall clock.
 */
export class SuspendAwareClock {
	private suspendedMs = 0;
	/** Offsets of the wall clock and of the uptime from the monotonic clock at the last reading, milliseconds. */
	private wallClockOffsetMs: number | undefined;
	private uptimeOffsetMs: number | undefined;
	private comparedAt = Number.NEGATIVE_INFINITY;
	private agreements = 0;
	private isUptimeTrusted = true;

	constructor(private readonly options: ClockOptions) {}

	/** Returns milliseconds since an origin that differs between processes; steps of the wall clock have no effect. */
	read(): number {
		const monotonicMs = this.options.readMonotonic();
		const offsetMs = this.options.readWallClock() - monotonicMs;
		const hasJumped = Math.abs(offsetMs - (this.wallClockOffsetMs ?? offsetMs)) > toleranceMs;
		this.wallClockOffsetMs = offsetMs;
		if (this.isUptimeTrusted && (hasJumped || monotonicMs - this.comparedAt >= compareIntervalMs)) {
			this.compareWithUptime(monotonicMs);
		}

		return monotonicMs + this.suspendedMs;
	}

	private compareWithUptime(monotonicMs: number): void {
		const {readMonotonic, readUptime} = this.options;
		const offsetMs = readUptime() - monotonicMs;
		if (readMonotonic() - monotonicMs > maximumReadSpreadMs) {
			return;
		}

		this.comparedAt = monotonicMs;
		const gapMs = offsetMs - (this.uptimeOffsetMs ?? offsetMs);
		this.uptimeOffsetMs = offsetMs;
		if (Math.abs(gapMs) <= toleranceMs) {
			this.agreements++;
		} else {
			this.handleGap(gapMs);
		}
	}

	private handleGap(gapMs: number): void {
		if (gapMs < 0 || this.agreements < minimumAgreements) {
			this.isUptimeTrusted = false;
			this.options.log('the time since the VM was started does not advance with the monotonic clock; suspensions will not be detected');
			return;
		}

		this.suspendedMs += gapMs;
		this.options.log(`the VM was suspended for ${Math.round(gapMs)} ms`);
	}
}
