import {rewriteWindowMs} from './rewrite-window-ms.js';

/** A store that gave no answer for so long was away, milliseconds. */
const minimumOutageMs = 800;
/** For so long after the store is back, what is missing may still come back, milliseconds. */
const recoveryMs = 2500;

/** Whether the store answers a process's calls, and since when. */
export class StoreAvailability {
	private failedSince: number | undefined;
	private recoveringUntil = Number.NEGATIVE_INFINITY;

	constructor(private readonly log: (message: string) => void) {}

	/** Whether the last call failed. */
	get isUnavailable(): boolean {
		return this.failedSince !== undefined;
	}

	/** Whether the store has come back so recently that lapsed keys may still return. */
	isRecovering(now: number): boolean {
		return now < this.recoveringUntil;
	}

	/** Notes a call that failed. */
	noteFailure(message: string, now: number): void {
		if (this.failedSince === undefined) {
			this.log(`store does not answer: ${message}`);
		}

		this.failedSince ??= now;
	}

	/** Notes an answer. */
	noteAnswer(now: number): void {
		if (this.failedSince === undefined) {
			return;
		}

		const outageMs = now - this.failedSince;
		this.failedSince = undefined;
		this.log(`store answers again after ${Math.round(outageMs)} ms`);
		if (outageMs > minimumOutageMs) {
			this.recoveringUntil = now + recoveryMs;
		}
	}

	/** Notes that the store has come back from a copy: what that lacks is kept for so long, and then is gone. */
	noteRollback(now: number): void {
		this.recoveringUntil = now + rewriteWindowMs;
	}
}
