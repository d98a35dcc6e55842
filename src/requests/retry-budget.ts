/** Most retries that can be saved up. */
const maximumSaved = 10;

/** Keeps retries to a share of first attempts, so that failing targets do not multiply the load. */
export class RetryBudget {
	private saved = maximumSaved;

	/** @param ratio - retries that each first attempt earns */
	constructor(private readonly ratio: number) {}

	/** Notes a first attempt. */
	earn(): void {
		this.saved = Math.min(maximumSaved, this.saved + this.ratio);
	}

	/** Takes one retry; false when there is none left. */
	spend(): boolean {
		if (this.saved < 1) {
			return false;
		}

		this.saved--;
		return true;
	}
}
