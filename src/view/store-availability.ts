import {rewriteWindowMs} from './rewrite-window-ms.js';

/** A period of failed calls longer than this counts as an outage, milliseconds. */
const minimumOutageMs = 800;
/** Time after an outage within which expired keys may be written again, milliseconds. */
const recoveryMs = 2500;

/** Tracks whether the store answers this process's calls. */
export class StoreAvailability {
	private failedSince: number | undefined;
	private recoveringUntil = Number.NEGATIVE_INFINITY;

	constructor(private readonly log: (message: string) => void) {}

	/** Whether the last call failed. */
	get isUnavailable(): boolean {
		return this.failedSince !== undefined;
	}

	/** Whether the store recovered so recently that expired keys may still be written again. */
	isRecovering(now: number): boolean {
		return now < this.recoveringUntil;
	}

	/** Records a failed call. */
	noteFailure(message: string, now: number): void {
		if (this.failedSince === undefined) {
			this.log(`store does not answer: ${message}`);
		}

		this.failedSince ??= now;
	}

	/** Records an answered call; returns whether calls had failed before it. */
	noteAnswer(now: number): boolean {
		if (this.failedSince === undefined) {
			return false;
		}

		const outageMs = now - this.failedSince;
		this.failedSince = undefined;
		this.log(`store answers again after ${Math.round(outageMs)} ms`);
		if (outageMs > minimumOutageMs) {
			this.recoveringUntil = now + recoveryMs;
		}

		return true;
	}

	/** Records that the store was restored from a backup: keys that it lacks may be written again within the rewrite window. */
	noteRollback(now: number): void {
		this.recoveringUntil = now + rewriteWindowMs;
	}
}
