/** Requests that a service's probes may have, as a share of those that can be sent elsewhere if they are refused. */
const repeatableShare = 0.1;
/** The same of requests that may be sent once only: who is refused has to come back, so that few of them are risked. */
const nonRepeatableShare = 0.02;

/**
 * Bounds how many requests are sent to see whether targets that have refused take some again: by the requests that there are, so
 * that neither more entries nor more such targets turn most requests into probes.
 */
export class ProbeBudget {
	private readonly credits = new Map<string, number>();

	/** Notes a request for a service; what is not used up does not gather. */
	noteRequest(service: string, isRepeatable: boolean): void {
		const share = isRepeatable ? repeatableShare : nonRepeatableShare;
		this.credits.set(service, Math.min(1, (this.credits.get(service) ?? 0) + share));
	}

	/** Takes one probe of a service; false when it is too soon for one. */
	takeProbe(service: string): boolean {
		if ((this.credits.get(service) ?? 0) < 1) {
			return false;
		}

		this.credits.set(service, 0);
		return true;
	}
}
