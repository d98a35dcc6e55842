/** Maximum number of retries that the bucket holds. */
const maximumRetries = 10;
/** Retries in the bucket of a process that starts: a full bucket at each start would renew the budget with every restart. */
const initialRetries = 1;

/** A token bucket that limits retries to a share of the requests, so that failing targets do not multiply the load. */
export class RetryBudget {
	private retries = initialRetries;

	/** @param ratio - retries that each request adds */
	constructor(private readonly ratio: number) {}

	/** Adds the share of one request; called once for each. */
	deposit(): void {
		this.retries = Math.min(maximumRetries, this.retries + this.ratio);
	}

	/** Takes one retry from the bucket; false when there is none left. */
	tryWithdraw(): boolean {
		if (this.retries < 1) {
			return false;
		}

		this.retries--;
		return true;
	}
}
