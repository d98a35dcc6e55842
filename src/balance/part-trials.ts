/** Longest time for which a trial keeps other requests back, milliseconds, should its end not be noticed. */
const trialMs = 3000;
/** A peer repeats its trials in each report; without one for this time it is over, milliseconds. */
const peerTrialMs = 1500;

/** Parts of prompts that one request at a time is sent with, to find out whether they crash targets. */
export class PartTrials {
	private readonly own = new Map<string, {readonly request: unknown; readonly until: number}>();
	/** When the trials of peers are over unless they are repeated, milliseconds. */
	private readonly peers = new Map<string, number>();

	/** Starts the trial of these parts by a request; `now` in milliseconds. */
	begin(request: unknown, parts: readonly string[], now: number): void {
		for (const part of parts) {
			this.own.set(part, {request, until: now + trialMs});
		}
	}

	/** Lists the parts that a request is sent for trial of. */
	listTried(request: unknown): string[] {
		return [...this.own].filter(([, trial]) => trial.request === request).map(([part]) => part);
	}

	/** Ends the trials by a request. */
	end(request: unknown): void {
		for (const [part, trial] of this.own) {
			if (trial.request === request) {
				this.own.delete(part);
			}
		}
	}

	/** Ends all trials of a part, which is known to be sound or not. */
	settle(part: string): void {
		this.own.delete(part);
		this.peers.delete(part);
	}

	/** Notes the trials of a peer; `now` in milliseconds. */
	notePeer(parts: readonly string[], now: number): void {
		for (const part of parts) {
			this.peers.set(part, now + peerTrialMs);
		}
	}

	/** Whether another request is being sent with this part; `now` in milliseconds. */
	isTriedByOther(part: string, request: unknown, now: number): boolean {
		const own = this.own.get(part);
		return (own !== undefined && own.request !== request && now < own.until) || now < (this.peers.get(part) ?? 0);
	}

	/** Lists the parts that requests of this process are trying; `now` in milliseconds. */
	list(now: number): string[] {
		return [...this.own].filter(([, {until}]) => now < until).map(([part]) => part);
	}

	/** Evicts trials that are over; `now` in milliseconds. */
	tick(now: number): void {
		for (const [part, {until}] of this.own) {
			if (now >= until) {
				this.own.delete(part);
			}
		}

		for (const [part, until] of this.peers) {
			if (now >= until) {
				this.peers.delete(part);
			}
		}
	}
}
