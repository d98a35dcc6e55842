import {rewriteWindowMs} from './rewrite-window-ms.js';

/** A period without any answer of the store longer than this counts as an outage, milliseconds. */
const minimumOutageMs = 800;
/** Answers of the store to peers are known for this time at least before the next one is due, milliseconds: their waits and reports take as long. */
const peerAnswerMs = 2500;

/**
 * Tracks whether the store answers this process's calls, and since when it is known to have answered anyone again. Calls that were swallowed
 * time out a second after the store is back, so that this process's own first answer comes later than those of its peers.
 */
export class StoreAvailability {
	private failedSince: number | undefined;
	/** When a peer last had an answer since this process's calls have failed, milliseconds. */
	private peerAnsweredAt: number | undefined;
	private returnsUntil = Number.NEGATIVE_INFINITY;

	constructor(private readonly log: (message: string) => void) {}

	/** Whether the last call failed. */
	get isUnavailable(): boolean {
		return this.failedSince !== undefined;
	}

	/** Until when keys may be written again that expired during an outage, or that a restored store lacks, milliseconds. */
	get mayReturnUntil(): number {
		return this.returnsUntil;
	}

	/** Whether the store answers nobody, as far as is known. */
	isAway(now: number): boolean {
		return this.failedSince !== undefined && (this.peerAnsweredAt === undefined || now - this.peerAnsweredAt > peerAnswerMs);
	}

	/** Records a failed call. */
	noteFailure(message: string, now: number): void {
		if (this.failedSince === undefined) {
			this.log(`store does not answer: ${message}`);
		}

		this.failedSince ??= now;
	}

	/** Records an answered call; returns whether it is the first answer to anyone after an outage. */
	noteAnswer(now: number): boolean {
		if (this.failedSince === undefined) {
			return false;
		}

		this.log(`store answers again after ${Math.round(now - this.failedSince)} ms`);
		const hasReturned = this.noteEvidence(now);
		this.failedSince = undefined;
		this.peerAnsweredAt = undefined;
		return hasReturned;
	}

	/** Records that the store answered a peer at `at`, milliseconds; returns whether it is the first answer to anyone after an outage. */
	notePeerAnswer(at: number): boolean {
		const lastAt = this.peerAnsweredAt ?? this.failedSince;
		if (lastAt === undefined || at <= lastAt) {
			return false;
		}

		const hasReturned = this.noteEvidence(at);
		this.peerAnsweredAt = at;
		return hasReturned;
	}

	/** Records that the store was restored from a backup: keys that it lacks may be written again within the rewrite window. */
	noteRollback(now: number): void {
		this.returnsUntil = now + rewriteWindowMs;
	}

	private noteEvidence(at: number): boolean {
		const hasReturned = at - (this.peerAnsweredAt ?? this.failedSince ?? at) > minimumOutageMs;
		if (hasReturned) {
			this.returnsUntil = at + rewriteWindowMs;
		}

		return hasReturned;
	}
}
