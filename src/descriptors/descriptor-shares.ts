type SharesOptions = {
	/** Descriptors that the process may open, as configured. */
	readonly maximum: number;
	/** Returns the limit of the system; undefined if it is not known. */
	readonly readLimit: () => number | undefined;
};

/** Shortest interval at which the limit of the system is read, milliseconds. */
const readIntervalMs = 10;
/** Descriptors kept for the store, peers, listeners and files: at most, and as a share of all. */
const maximumReserve = 256;
const reserveShare = 0.25;
/** Shares of the others that connections of callers, and connections to targets, may take. */
const callerShare = 0.65;
const targetShare = 0.35;

/** Divides the descriptors of a process, so that callers leave enough for targets, and both for the store and peers. */
export class DescriptorShares {
	private limit: number;
	private readAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: SharesOptions) {
		this.limit = options.maximum;
	}

	/** Returns the limit on connections of callers; `now` in milliseconds. */
	getForCallers(now: number): number {
		return Math.floor(callerShare * this.getDivided(now));
	}

	/** Returns the limit on connections to targets; `now` in milliseconds. */
	getForTargets(now: number): number {
		return Math.floor(targetShare * this.getDivided(now));
	}

	private getDivided(now: number): number {
		if (now - this.readAt >= readIntervalMs) {
			const limit = this.options.readLimit();
			// A system that does not say will not do so later.
			this.readAt = limit === undefined ? Number.POSITIVE_INFINITY : now;
			this.limit = Math.min(this.options.maximum, limit ?? Number.POSITIVE_INFINITY);
		}

		return this.limit - Math.min(maximumReserve, reserveShare * this.limit);
	}
}
