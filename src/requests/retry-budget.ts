/** Most retries that can be saved up. */
const maximumRetries = 10;

/** Keeps retries to a share of first attempts, so that failing targets do not multiply the load. */
export class RetryBudget {
	private retries = maximumRetries;

	/** @param ratio - retries that each first attempt earns */
	constructor(private readonly ratio: number) {}

	/** Notes a first attempt. */
	deposit(): void {
		this.retries = Math.min(maximumRetries, this.retries + this.ratio);
	}

	/** Takes one retry; false when there is none left. */
	tryWithdraw(): boolean {
		if (this.retries < 1) {
			return false;
		}

		this.retries--;
		return true;
	}
}
