type Runs = {count: number; longestMs: number};

/** Runs are remembered for this time at least, and for twice as long at most, milliseconds. */
const memoryMs = 30_000;
/** Runs from which the longest of the next ones is estimated. */
const minimumRuns = 8;

/** How long requests have lately taken at targets, by kind: a route or a service. */
export class RunTimes {
	private present = new Map<string, Runs>();
	private former = new Map<string, Runs>();
	private presentSince = Number.NEGATIVE_INFINITY;

	/** Records a request that has ended after `ms` milliseconds; `now` in milliseconds. */
	note(kind: string, ms: number, now: number): void {
		this.turn(now);
		const runs = this.present.get(kind);
		if (runs) {
			runs.count++;
			runs.longestMs = Math.max(runs.longestMs, ms);
		} else {
			this.present.set(kind, {count: 1, longestMs: ms});
		}
	}

	/** Returns the longest time that a request of a kind has lately taken, milliseconds; undefined while too few are known. */
	getLongestMs(kind: string, now: number): number | undefined {
		this.turn(now);
		const known = [this.present.get(kind), this.former.get(kind)].filter(runs => runs !== undefined);
		const count = known.reduce((sum, runs) => sum + runs.count, 0);
		return count < minimumRuns ? undefined : Math.max(...known.map(({longestMs}) => longestMs));
	}

	private turn(now: number): void {
		if (now - this.presentSince > memoryMs) {
			this.former = now - this.presentSince > 2 * memoryMs ? new Map<string, Runs>() : this.present;
			this.present = new Map();
			this.presentSince = now;
		}
	}
}
