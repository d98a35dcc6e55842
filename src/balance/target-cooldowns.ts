import {type Target} from '../fleet/target.js';

type Cooldown = {readonly target: Target; readonly since: number; until: number; sends: number; unregisteredAt: number | undefined};

/** How the target asked for it. */
type CooldownRequest = {
	readonly durationMs: number;
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
const unregisteredRetentionMs = 10_000;

/**
 * Targets that have asked this process to send them nothing for a while, which is kept whoever would be sent: requests, repeats,
 * resumed streams, probes. What is asked of other entries is theirs alone, since a target may turn away some of its callers only.
 */
export class TargetCooldowns {
	private readonly cooldowns = new Map<string, Cooldown>();

	constructor(private readonly log: (message: string) => void) {}

	/** Notes what a target asks for. A shorter rest does not end a longer one that it asked for before. */
	start(target: Target, {durationMs: restMs, status, retryAfter, inFlight}: CooldownRequest, now: number): void {
		const rest = this.cooldowns.get(target.id);
		if (rest) {
			rest.until = Math.max(rest.until, now + restMs);
			return;
		}

		this.cooldowns.set(target.id, {
			target, since: now, until: now + restMs, sends: 0, unregisteredAt: undefined,
		});
		this.log(`target ${target.id} of ${target.service} asks for ${Math.round(restMs)} ms of rest (${status}, Retry-After ${retryAfter}), ${inFlight} requests under way there`);
	}

	/** Targets that rest. */
	get size(): number {
		return this.cooldowns.size;
	}

	/** Milliseconds for which a target still wants nothing; 0 when it takes requests. */
	getRemainingMs(target: string, now: number): number {
		return Math.max(0, (this.cooldowns.get(target)?.until ?? 0) - now);
	}

	/** Notes that a request is sent to a target, so that the end of a rest tells whether it was kept. */
	noteSend(target: string, now: number): void {
		const rest = this.cooldowns.get(target);
		if (rest && now < rest.until) {
			rest.sends++;
		}
	}

	/** Ends the rests that are over, and forgets those of targets that are gone. */
	tick(now: number, isKnown: (target: string) => boolean): void {
		for (const [id, rest] of this.cooldowns) {
			const {target, since, until, sends} = rest;
			rest.unregisteredAt = isKnown(id) ? undefined : rest.unregisteredAt ?? now;
			if (now >= until) {
				this.cooldowns.delete(id);
				this.log(`target ${id} of ${target.service} has had its rest of ${Math.round(until - since)} ms, ${sends} requests were sent to it meanwhile`);
			} else if (rest.unregisteredAt !== undefined && now - rest.unregisteredAt > unregisteredRetentionMs) {
				this.cooldowns.delete(id);
				this.log(`target ${id} of ${target.service} is gone within its rest`);
			}
		}
	}

	/** Forgets the rest of a target that has started again: its new life knows nothing of it. */
	forget(target: string): void {
		this.cooldowns.delete(target);
	}
}
