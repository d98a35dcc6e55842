/** Probes allowed for each request that can be retried elsewhere if the probe is refused. */
const repeatableShare = 0.1;
/** The same for requests that may be sent only once. It is lower, because a refused request fails for its caller. */
const nonRepeatableShare = 0.02;

/**
 * Limits the probes of targets that have refused requests, in proportion to the requests of their service. The share of requests
 * spent on probes is therefore independent of the number of entries and of such targets.
 */
export class ProbeBudget {
	private readonly credits = new Map<string, number>();

	/** Counts a request for a service. At most one unused probe is saved. */
	noteRequest(service: string, isRepeatable: boolean): void {
		const share = isRepeatable ? repeatableShare : nonRepeatableShare;
		this.credits.set(service, Math.min(1, (this.credits.get(service) ?? 0) + share));
	}

	/** Takes one probe of a service; false when none is available yet. */
	takeProbe(service: string): boolean {
		if ((this.credits.get(service) ?? 0) < 1) {
			return false;
		}

		this.credits.set(service, 0);
		return true;
	}
}
