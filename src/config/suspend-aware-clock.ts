type ClockOptions = {
	/** The VM's steady clock, milliseconds; it stands still while the VM is suspended. */
	readonly readMonotonic: () => number;
	/** The time of day, Unix milliseconds; it counts that time, and may step besides. */
	readonly readWallClock: () => number;
	/** Time since the VM was started, milliseconds; it counts that time as well. */
	readonly readUptime: () => number;
	readonly log: (message: string) => void;
};

/** Clocks that differ by less between two readings agree, milliseconds: they are read one after the other, and tick coarsely. */
const toleranceMs = 200;
/** The time since the VM's start is compared so often at least, milliseconds, in case a step of the time of day hides a suspension. */
const compareIntervalMs = 1000;
/** Comparisons that have to agree before a difference is believed: some machines tell the time since another start. */
const minimumAgreements = 3;
/** A pair of readings that takes longer than this is not used, milliseconds: the process stood still between them. */
const maximumReadSpreadMs = 20;

/**
 * The time that has passed for this process, with the time for which its VM was suspended, so that what it believes has become as old
 * as it is: words of peers, its view of the store, leases, rests, deadlines.
 *
 * The time of day shows at once that there was a gap, and the time since the VM's start whether that was a suspension or a step.
 */
export class SuspendAwareClock {
	private suspendedMs = 0;
	/** How far the other clocks were ahead of the steady one when they were last read, milliseconds. */
	private wallClockOffsetMs: number | undefined;
	private uptimeOffsetMs: number | undefined;
	private comparedAt = Number.NEGATIVE_INFINITY;
	private agreements = 0;
	private isUptimeTrusted = true;

	constructor(private readonly options: ClockOptions) {}

	/** Milliseconds, from a moment that differs between processes; a step of the time of day does not move it. */
	read(): number {
		const steady = this.options.readMonotonic();
		const ahead = this.options.readWallClock() - steady;
		const hasJumped = Math.abs(ahead - (this.wallClockOffsetMs ?? ahead)) > toleranceMs;
		this.wallClockOffsetMs = ahead;
		if (this.isUptimeTrusted && (hasJumped || steady - this.comparedAt >= compareIntervalMs)) {
			this.compareWithUptime(steady);
		}

		return steady + this.suspendedMs;
	}

	private compareWithUptime(steady: number): void {
		const {readMonotonic: readSteady, readUptime} = this.options;
		const ahead = readUptime() - steady;
		if (readSteady() - steady > maximumReadSpreadMs) {
			return;
		}

		this.comparedAt = steady;
		const gapMs = ahead - (this.uptimeOffsetMs ?? ahead);
		this.uptimeOffsetMs = ahead;
		if (Math.abs(gapMs) <= toleranceMs) {
			this.agreements++;
		} else {
			this.handleGap(gapMs);
		}
	}

	private handleGap(gapMs: number): void {
		if (gapMs < 0 || this.agreements < minimumAgreements) {
			this.isUptimeTrusted = false;
			this.options.log('the time since the VM was started does not go on as the steady clock does, a suspension will not be noticed');
			return;
		}

		this.suspendedMs += gapMs;
		this.options.log(`the VM was suspended for ${Math.round(gapMs)} ms`);
	}
}
