type Outage = {readonly since: number; nextProbeAt: number; retryAt: number};

/** Time between two requests that are let through to see whether a service that is down runs again, milliseconds. */
const probeIntervalMs = 300;
/**
 * Time for which a group gets nothing while others of its service run, milliseconds, unless it is known to run again. What is
 * sent to a group that has stopped is held for its stall time, and then goes on late.
 */
const groupBackoffMs = 2000;

/**
 * Keeps requests from targets that depend on each other and are all stopped, as a group of ranks is while one of them is
 * lost: a group where it is known, a whole service otherwise. One request now and then is let through to see whether it
 * runs again.
 */
export class ServiceBreaker {
	private readonly outages = new Map<string, Outage>();

	constructor(private readonly log: (message: string) => void) {}

	/** Notes that a service does not run, and how that is known. */
	noteDown(service: string, now: number, cause: string): void {
		const outage = this.outages.get(service);
		if (outage) {
			outage.retryAt = now + groupBackoffMs;
		} else {
			this.outages.set(service, {since: now, nextProbeAt: now + probeIntervalMs, retryAt: now + groupBackoffMs});
			this.log(`service ${service} is down: ${cause}`);
		}
	}

	/** Notes that a target of the service does its work. */
	noteRunning(service: string, now: number): void {
		const outage = this.outages.get(service);
		if (!outage) {
			return;
		}

		this.outages.delete(service);
		this.log(`service ${service} runs again after ${Math.round(now - outage.since)} ms`);
	}

	/** Whether requests should go to the other groups of a service: this one has stopped, and nothing says that it runs again. */
	isAvoided(group: string, now: number): boolean {
		return now < (this.outages.get(group)?.retryAt ?? 0);
	}

	/** Notes that the request let through told nothing of the service, so that the next may take its place. */
	allowNextProbe(service: string, now: number): void {
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

		outage.nextProbeAt = now + probeIntervalMs;
		return true;
	}
}
