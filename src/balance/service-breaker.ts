/** An outage of a service or group: its start, the time of the next probe, and the end of the backoff, milliseconds. */
type Outage = {readonly since: number; nextProbeAt: number; backoffUntil: number};

/** Interval between probes of a service that is down, milliseconds. */
const probeIntervalMs = 300;
/**
 * Time for which a stopped group gets no requests while other groups of its service run, milliseconds, unless it is known to run
 * again. A request sent to a stopped group waits until it is detected as stalled, and is then retried late.
 */
const groupBackoffMs = 2000;

/**
 * Circuit breaker for targets that depend on each other and stop together, as the ranks of a group do when one of them is lost.
 * The unit is a group where the group is known, else a whole service. While a unit is down, one request per interval is let
 * through as a probe.
 */
export class ServiceBreaker {
	private readonly outages = new Map<string, Outage>();

	constructor(private readonly log: (message: string) => void) {}

	/** Notes that a service is down, and why; returns whether that was not known. */
	noteDown(service: string, now: number, cause: string): boolean {
		const outage = this.outages.get(service);
		if (outage) {
			outage.backoffUntil = now + groupBackoffMs;
			return false;
		}

		this.outages.set(service, {since: now, nextProbeAt: now + probeIntervalMs, backoffUntil: now + groupBackoffMs});
		this.log(`service ${service} is down: ${cause}`);
		return true;
	}

	/** Notes that a target of the service has made progress, so that the service runs. */
	noteRunning(service: string, now: number): void {
		const outage = this.outages.get(service);
		if (!outage) {
			return;
		}

		this.outages.delete(service);
		this.log(`service ${service} runs again after ${Math.round(now - outage.since)} ms`);
	}

	/** Whether requests should go to other groups of the service: this group has stopped and is not known to run again. */
	isAvoided(group: string, now: number): boolean {
		return now < (this.outages.get(group)?.backoffUntil ?? 0);
	}

	/** Notes that the last probe had no conclusive result, so that the next request may be a probe. */
	allowNextProbe(service: string, now: number): void {
		const outage = this.outages.get(service);
		if (outage) {
			outage.nextProbeAt = now;
		}
	}

	/** Whether a request may be sent to the service; while it is down, only probes may. */
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
