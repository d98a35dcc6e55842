/** A request that is to be sent to a target. Times in milliseconds. */
type Work = {
	/** When its answer is complete, or given up, at the latest. */
	readonly deadline: number;
	/** How long it is expected to take; undefined if that is not known. */
	readonly expectedMs?: number | undefined;
	/** Whether it may run more than once, so that its caller can repeat it if it is cut. */
	readonly isRepeatable?: boolean;
	/** Whether it may have run already, so that it cannot be refused as not run any more. */
	readonly hasBegun?: boolean;
};

type StopTimes = {
	/** Until when callers may not know yet that the process stops. */
	readonly noticedAt: number;
	/** When the process ends. */
	readonly endsAt: number;
};

/** Time between the end of a request and that of the process, milliseconds, in which its answer is written. */
const answerMarginMs = 200;
/** Requests may take this many times as long as expected. */
const expectationMargin = 1.5;

/**
 * The time that a planned stop leaves for requests. One that is sent to a target too late is cut when the process ends, while a refusal
 * lets its caller go to another process at once. Most requests end long before their deadline: while callers come that cannot know of the
 * stop, they are sent if they are expected to end in time; where nothing is known, only those that may be repeated. Later ones are few, and
 * are sent only if their deadline passes in time.
 */
export class GracePeriod {
	private times: StopTimes | undefined;
	private isEnded = false;
	/** Ends the attempts that run. */
	private readonly running = new Set<() => void>();

	/** Whether the process stops. */
	get hasBegun(): boolean {
		return this.times !== undefined;
	}

	/** Whether nothing is sent any more. */
	get isOver(): boolean {
		return this.isEnded;
	}

	/** Begins the stop. */
	begin(times: StopTimes): void {
		this.times = times;
	}

	/** Revokes the stop. */
	revoke(): void {
		this.times = undefined;
		this.isEnded = false;
	}

	/** Has an attempt ended with the time for requests, until the returned function is called. */
	watchRun(end: () => void): () => void {
		this.running.add(end);
		return () => {
			this.running.delete(end);
		};
	}

	/**
	 * Ends the time for requests, and all attempts that run, as late as their callers can still be told that their requests may have run: a
	 * connection that closes with the process says less. What is left of the stop is for answers.
	 */
	end(): void {
		this.isEnded = true;
		for (const endRun of this.running) {
			endRun();
		}
	}

	/** Returns how long requests may still run, milliseconds; `now` in milliseconds. */
	getLeftMs(now: number): number {
		return this.times ? Math.max(0, this.times.endsAt - answerMarginMs - now) : Number.POSITIVE_INFINITY;
	}

	/** Whether a request that is sent now ends before the process does; `now` in milliseconds. */
	hasTimeFor({deadline, expectedMs, isRepeatable = false, hasBegun = false}: Work, now: number): boolean {
		if (this.isEnded) {
			return false;
		}

		if (!this.times) {
			return true;
		}

		const latest = this.times.endsAt - answerMarginMs;
		if (deadline <= latest) {
			return true;
		}

		const isNoticed = now >= this.times.noticedAt;
		if (expectedMs === undefined) {
			return isRepeatable && !isNoticed;
		}

		return (hasBegun || !isNoticed) && now + (expectationMargin * expectedMs) <= latest;
	}
}
