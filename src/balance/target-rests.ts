import {type Target} from '../fleet/target.js';

type Rest = {readonly target: Target; readonly since: number; until: number; sends: number; goneAt: number | undefined};

/** How the target asked for it. */
type Wish = {
	readonly restMs: number;
	/** Status of the answer, and its words. */
	readonly status: number;
	readonly retryAfter: string;
	/** Requests of all entries under way there. */
	readonly inFlight: number;
};

/**
 * A rest is kept for so long after its target's registration has gone, milliseconds: one that lapsed while the store was away may
 * still come back, and the target goes on resting.
 */
const goneMemoryMs = 10_000;

/**
 * Targets that have asked this process to send them nothing for a while, which is kept whoever would be sent: requests, repeats,
 * resumed streams, probes. What is asked of other entries is theirs alone, since a target may turn away some of its callers only.
 */
export class TargetRests {
	private readonly rests = new Map<string, Rest>();

	constructor(private readonly log: (message: string) => void) {}

	/** Notes what a target asks for. A shorter rest does not end a longer one that it asked for before. */
	begin(target: Target, {restMs, status, retryAfter, inFlight}: Wish, now: number): void {
		const rest = this.rests.get(target.id);
		if (rest) {
			rest.until = Math.max(rest.until, now + restMs);
			return;
		}

		this.rests.set(target.id, {
			target, since: now, until: now + restMs, sends: 0, goneAt: undefined,
		});
		this.log(`target ${target.id} of ${target.service} asks for ${Math.round(restMs)} ms of rest (${status}, Retry-After ${retryAfter}), ${inFlight} requests under way there`);
	}

	/** Targets that rest. */
	get size(): number {
		return this.rests.size;
	}

	/** Milliseconds for which a target still wants nothing; 0 when it takes requests. */
	getRemaining(target: string, now: number): number {
		return Math.max(0, (this.rests.get(target)?.until ?? 0) - now);
	}

	/** Notes that a request is sent to a target, so that the end of a rest tells whether it was kept. */
	noteSend(target: string, now: number): void {
		const rest = this.rests.get(target);
		if (rest && now < rest.until) {
			rest.sends++;
		}
	}

	/** Ends the rests that are over, and forgets those of targets that are gone. */
	tick(now: number, isKnown: (target: string) => boolean): void {
		for (const [id, rest] of this.rests) {
			const {target, since, until, sends} = rest;
			rest.goneAt = isKnown(id) ? undefined : rest.goneAt ?? now;
			if (now >= until) {
				this.rests.delete(id);
				this.log(`target ${id} of ${target.service} has had its rest of ${Math.round(until - since)} ms, ${sends} requests were sent to it meanwhile`);
			} else if (rest.goneAt !== undefined && now - rest.goneAt > goneMemoryMs) {
				this.rests.delete(id);
				this.log(`target ${id} of ${target.service} is gone within its rest`);
			}
		}
	}

	/** Forgets the rest of a target that has started again: its new life knows nothing of it. */
	forget(target: string): void {
		this.rests.delete(target);
	}
}
