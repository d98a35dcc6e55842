/** Requests and retries counted in one part of the window, which starts at `start` (milliseconds). */
type Bucket = {readonly start: number; requests: number; retries: number};

type BudgetOptions = {
	/** Retries allowed for each request. */
	readonly ratio: number;
	/** Additional retries allowed in each window, over all entries together. */
	readonly slack: number;
	/** Length of the sliding window, milliseconds. */
	readonly windowMs: number;
	/** Number of entries that share the slack. */
	readonly countEntries: (now: number) => number;
	/** When this process started, milliseconds. */
	readonly startedAt: number;
	/** Called with each retry that the budget does not allow. */
	readonly onRefusal: (service: string) => void;
	readonly log: (message: string) => void;
};

/** Buckets into which the sliding window is divided. */
const bucketsPerWindow = 20;
/** Minimum interval between two log lines on the exhausted budget of one service, milliseconds. */
const logIntervalMs = 1000;
/** Share of the budget that is used. The remainder covers entries that have not discovered each other yet. */
const budgetShare = 0.8;

/**
 * Retry budget of all entries together, kept without coordination on each request: each entry may use the share of its own
 * requests and an equal part of the slack. A retry is any send of a request after its first.
 */
export class SharedRetryBudget {
	private readonly buckets = new Map<string, Bucket[]>();
	/** When a line on a service's exhausted budget was last written, milliseconds. */
	private readonly loggedAt = new Map<string, number>();
	private maximumEntries = 1;

	constructor(private readonly options: BudgetOptions) {}

	/** Counts a request for a service. */
	noteRequest(service: string, now: number): void {
		this.getBucket(service, now).requests++;
	}

	/** Takes one retry at a service; false when this entry's part of the budget is used up. */
	takeRetry(service: string, now: number): boolean {
		const bucket = this.getBucket(service, now);
		this.maximumEntries = Math.max(this.maximumEntries, this.options.countEntries(now));
		let requests = 0;
		let retries = 0;
		for (const entry of this.buckets.get(service)!) {
			requests += entry.requests;
			retries += entry.retries;
		}

		const allowed = budgetShare * ((requests * this.options.ratio) + (this.options.slack / this.maximumEntries));
		if (retries + 1 > allowed) {
			this.noteRefusal(service, `${retries} of ${allowed.toFixed(1)} retries for ${requests} requests`, now);
			return false;
		}

		bucket.retries++;
		return true;
	}

	private noteRefusal(service: string, usage: string, now: number): void {
		const {onRefusal, startedAt, windowMs, log} = this.options;
		onRefusal(service);
		if (now - (this.loggedAt.get(service) ?? Number.NEGATIVE_INFINITY) >= logIntervalMs) {
			this.loggedAt.set(service, now);
			log(`retry budget of ${service} is exhausted: ${usage} in ${windowMs} ms, shared by ${this.maximumEntries} entries, running for ${Math.round(now - startedAt)} ms`);
		}
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

		const bucket = {start: now, requests: 0, retries: 0};
		buckets.push(bucket);
		return bucket;
	}
}
