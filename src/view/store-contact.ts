import {rewriteMs} from './rewrite-ms.js';

/** A store that gave no answer for so long was away, milliseconds. */
const outageMs = 800;
/** For so long after the store is back, what is missing may still come back, milliseconds. */
const returnMs = 2500;

/** Whether the store answers a process's calls, and since when. */
export class StoreContact {
	private failedSince: number | undefined;
	private returningUntil = Number.NEGATIVE_INFINITY;

	constructor(private readonly log: (message: string) => void) {}

	/** Whether the last call failed. */
	get isLost(): boolean {
		return this.failedSince !== undefined;
	}

	/** Whether the store has come back so recently that lapsed keys may still return. */
	isReturning(now: number): boolean {
		return now < this.returningUntil;
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

		const awayMs = now - this.failedSince;
		this.failedSince = undefined;
		this.log(`store answers again after ${Math.round(awayMs)} ms`);
		if (awayMs > outageMs) {
			this.returningUntil = now + returnMs;
		}
	}

	/** Notes that the store has come back from a copy: what that lacks is kept for so long, and then is gone. */
	noteRestoration(now: number): void {
		this.returningUntil = now + rewriteMs;
	}
}
