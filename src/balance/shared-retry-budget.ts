type Bucket = {readonly start: number; requests: number; repeats: number};

type BudgetOptions = {
	/** Repeats allowed for each request. */
	readonly ratio: number;
	/** Repeats allowed in a window beyond that, over all entries. */
	readonly slack: number;
	/** Length of the sliding window, milliseconds. */
	readonly windowMs: number;
	/** Entries that share the slack. */
	readonly countEntries: (now: number) => number;
};

/** Parts of a window that are counted by themselves. */
const bucketsPerWindow = 20;
/** Share of the budget that this entry's part is reckoned from; the rest covers entries that see one another late. */
const budgetShare = 0.8;

/**
 * Keeps the sends beyond the first of each request within a budget that all entries share without talk for each: an
 * entry may use its own requests' share, and an equal part of the slack.
 */
export class SharedRetryBudget {
	private readonly buckets = new Map<string, Bucket[]>();
	private maximumEntries = 1;

	constructor(private readonly options: BudgetOptions) {}

	/** Notes a request for a service. */
	noteRequest(service: string, now: number): void {
		this.getBucket(service, now).requests++;
	}

	/** Takes one repeat at a service; false when this entry's part is used up. */
	takeRetry(service: string, now: number): boolean {
		const bucket = this.getBucket(service, now);
		this.maximumEntries = Math.max(this.maximumEntries, this.options.countEntries(now));
		let requests = 0;
		let repeats = 0;
		for (const entry of this.buckets.get(service)!) {
			requests += entry.requests;
			repeats += entry.repeats;
		}

		const allowed = budgetShare * ((requests * this.options.ratio) + (this.options.slack / this.maximumEntries));
		if (repeats + 1 > allowed) {
			return false;
		}

		bucket.repeats++;
		return true;
	}

	private getBucket(service: string, now: number): Bucket {
		const {windowMs} = this.options;
		const lengthMs = windowMs / bucketsPerWindow;
		const buckets = (this.buckets.get(service) ?? []).filter(({start}) => now - start < windowMs + lengthMs);
		this.buckets.set(service, buckets);
		const last = buckets.at(-1);
		if (last && now - last.start < lengthMs) {
			return last;
		}

		const bucket = {start: now, requests: 0, repeats: 0};
		buckets.push(bucket);
		return bucket;
	}
}
