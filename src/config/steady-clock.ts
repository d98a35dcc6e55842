type ClockOptions = {
	/** The VM's steady clock, milliseconds. */
	readonly readSteady: () => number;
	/** The time of day, Unix milliseconds. */
	readonly readTimeOfDay: () => number;
	/** Time since the VM was started, milliseconds. */
	readonly readUptime: () => number;
	readonly log: (message: string) => void;
};

/** The time that has passed for this process. */
export class SteadyClock {
	constructor(private readonly options: ClockOptions) {}

	/** Milliseconds, from a moment that differs between processes; a step of the time of day does not move it. */
	read(): number {
		return this.options.readSteady();
	}
}
