/** Retry credit earned, and slack used, in one part of the window, which starts at `start` (milliseconds). */
type Bucket = {readonly start: number; credit: number; slackUsed: number};

/** A service's usage within the window. */
type Ledger = {
	buckets: Bucket[];
	/** Credit kept from expired buckets, below one retry: without it, an entry with few requests would never earn one. */
	remainder: number;
	/** When a line on the exhausted budget was last written, milliseconds. */
	loggedAt: number;
};

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
	/** Whether all entries have started for the first time, so that no earlier process can have used the slack. */
	readonly isNewFleet: () => boolean;
	/** Called with each retry that the budget does not allow. */
	readonly onRefusal: (service: string) => void;
	readonly log: (message: string) => void;
};

/** Buckets into which the sliding window is divided. */
const bucketsPerWindow = 40;
/** Share of the budget that is used. The remainder covers credit from before a window, and retries that are delayed on the way into it. */
const budgetShare = 0.8;
/** Credit expires after this share of the window, so that credit from before a window adds little to the retries within it. */
const creditLifetimeShare = 0.1;
/** Minimum interval between two log lines on the exhausted budget of one service, milliseconds. */
const logIntervalMs = 1000;

/**
 * Retry budget of all entries together, kept without coordination on each request. Each entry earns credit with its own requests, and
 * has an equal part of the slack. A retry is any send of a request after its first.
 *
 * The budget of a process that ends is lost with it, so a process assumes that an earlier one on its VM has just used its part of the slack:
 * it starts without credit, and uses slack only after a whole window, unless the whole fleet is new. Restarts, in whatever number and order, therefore add nothing.
 */
export class SharedRetryBudget {
	private readonly ledgers = new Map<string, Ledger>();

	constructor(private readonly options: BudgetOptions) {}

	/** Counts a request for a service. */
	noteRequest(service: string, now: number): void {
		this.getBucket(this.getLedger(service, now), now).credit += budgetShare * this.options.ratio;
	}

	/** Takes one retry at a service; false when this entry's part of the budget is used up. */
	takeRetry(service: string, now: number): boolean {
		const ledger = this.getLedger(service, now);
		const credit = this.getCredit(ledger, now);
		if (!this.mayRetry(service, now)) {
			this.noteRefusal(service, credit, now);
			return false;
		}

		const used = Math.min(1, credit);
		this.useCredit(ledger, used, now);
		this.getBucket(ledger, now).slackUsed += 1 - used;
		return true;
	}

	/** Whether a retry at a service may be taken now. */
	mayRetry(service: string, now: number): boolean {
		const ledger = this.getLedger(service, now);
		return this.getCredit(ledger, now) + this.getSlack(now) - sum(ledger.buckets, 'slackUsed') >= 1;
	}

	private getCredit(ledger: Ledger, now: number): number {
		return ledger.remainder + sum(this.listEarning(ledger, now), 'credit');
	}

	/* This entry's part of the slack in a window. */
	private getSlack(now: number): number {
		const {slack, countEntries} = this.options;
		return this.mayUseSlack(now) ? budgetShare * slack / countEntries(now) : 0;
	}

	private mayUseSlack(now: number): boolean {
		const {startedAt, windowMs, isNewFleet} = this.options;
		return now - startedAt >= windowMs || isNewFleet();
	}

	private useCredit(ledger: Ledger, amount: number, now: number): void {
		const fromRemainder = Math.min(ledger.remainder, amount);
		ledger.remainder -= fromRemainder;
		let left = amount - fromRemainder;
		for (const bucket of this.listEarning(ledger, now)) {
			const used = Math.min(bucket.credit, left);
			bucket.credit -= used;
			left -= used;
		}
	}

	/* The buckets whose credit has not expired, the oldest first. */
	private listEarning({buckets}: Ledger, now: number): Bucket[] {
		return buckets.filter(({start}) => now - start < this.options.windowMs * creditLifetimeShare);
	}

	/* Returns a service's ledger after expiring credit and dropping what lies before the window. */
	private getLedger(service: string, now: number): Ledger {
		const ledger = this.ledgers.get(service) ?? {buckets: [], remainder: 0, loggedAt: Number.NEGATIVE_INFINITY};
		this.ledgers.set(service, ledger);
		const {windowMs} = this.options;
		for (const bucket of ledger.buckets) {
			if (now - bucket.start >= windowMs * creditLifetimeShare) {
				ledger.remainder = Math.min(1, ledger.remainder + bucket.credit);
				bucket.credit = 0;
			}
		}

		// A bucket counts until its end has left the window.
		ledger.buckets = ledger.buckets.filter(({start}) => now - start < windowMs + this.bucketMs);
		return ledger;
	}

	private getBucket(ledger: Ledger, now: number): Bucket {
		const last = ledger.buckets.at(-1);
		if (last && now - last.start < this.bucketMs) {
			return last;
		}

		const bucket = {start: now, credit: 0, slackUsed: 0};
		ledger.buckets.push(bucket);
		return bucket;
	}

	private get bucketMs(): number {
		return this.options.windowMs / bucketsPerWindow;
	}

	private noteRefusal(service: string, credit: number, now: number): void {
		const {onRefusal, startedAt, windowMs, countEntries, log} = this.options;
		onRefusal(service);
		const ledger = this.getLedger(service, now);
		if (now - ledger.loggedAt < logIntervalMs) {
			return;
		}

		ledger.loggedAt = now;
		const slackUsed = sum(ledger.buckets, 'slackUsed').toFixed(1);
		const slack = `${slackUsed} of ${this.getSlack(now).toFixed(1)} slack used in ${windowMs} ms`;
		const basis = `shared by ${countEntries(now)} entries, running for ${Math.round(now - startedAt)} ms`;
		log(`retry budget of ${service} is exhausted: ${credit.toFixed(1)} retries earned by requests, ${slack}, ${basis}`);
	}
}

function sum(buckets: readonly Bucket[], field: 'credit' | 'slackUsed'): number {
	let total = 0;
	for (const bucket of buckets) {
		total += bucket[field];
	}

	return total;
}
