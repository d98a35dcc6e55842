type Outage = {readonly since: number; nextProbeAt: number};

/** Time between two requests that are let through to see whether a service that is down runs again, milliseconds. */
const probeMs = 300;

/**
 * Keeps requests from a service whose targets depend on each other and are all stopped, as a group of ranks is while
 * one of them is lost. One request now and then is let through to see whether it runs again.
 */
export class ServiceGate {
	private readonly outages = new Map<string, Outage>();

	constructor(private readonly log: (message: string) => void) {}

	/** Notes that a service does not run, and how that is known. */
	close(service: string, now: number, cause: string): void {
		if (!this.outages.has(service)) {
			this.outages.set(service, {since: now, nextProbeAt: now + probeMs});
			this.log(`service ${service} is down: ${cause}`);
		}
	}

	/** Notes that a target of the service does its work. */
	open(service: string, now: number): void {
		const outage = this.outages.get(service);
		if (!outage) {
			return;
		}

		this.outages.delete(service);
		this.log(`service ${service} runs again after ${Math.round(now - outage.since)} ms`);
	}

	/** Notes that the request let through told nothing of the service, so that the next may take its place. */
	excuse(service: string, now: number): void {
		const outage = this.outages.get(service);
		if (outage) {
			outage.nextProbeAt = now;
		}
	}

	/** Whether a request may go to the service; while it is down, one now and then. */
	admit(service: string, now: number): boolean {
		const outage = this.outages.get(service);
		if (!outage) {
			return true;
		}

		if (now < outage.nextProbeAt) {
			return false;
		}

		outage.nextProbeAt = now + probeMs;
		return true;
	}
}
