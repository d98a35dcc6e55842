import {type Target} from '../fleet/target.js';

/** A cooldown of a target; `sends` counts the requests sent to it during that time. Times in milliseconds. */
type Cooldown = {readonly target: Target; readonly since: number; until: number; sends: number; unregisteredAt: number | undefined};

/** A target's request for a cooldown, as read from its answer. */
type CooldownRequest = {
	readonly durationMs: number;
	/** HTTP status of the answer, and its Retry-After header. */
	readonly status: number;
	readonly retryAfter: string;
	/** Requests in flight at the target, summed over all entries. */
	readonly inFlight: number;
};

/**
 * Time for which a cooldown is kept after its target's registration has gone, milliseconds: a registration that lapsed while the
 * store was unavailable may come back, and the cooldown then still applies.
 */
const unregisteredRetentionMs = 10_000;

/**
 * Targets that have asked this process not to send them requests for a while (Retry-After). It applies to everything that is sent:
 * requests, retries, resumed streams and probes. Cooldowns are not shared with other entries, since a target may refuse only some
 * of its callers.
 */
export class TargetCooldowns {
	private readonly cooldowns = new Map<string, Cooldown>();

	constructor(private readonly log: (message: string) => void) {}

	/** Starts or extends a cooldown. A shorter one does not end a longer one that was requested before. */
	start(target: Target, {durationMs, status, retryAfter, inFlight}: CooldownRequest, now: number): void {
		const cooldown = this.cooldowns.get(target.id);
		if (cooldown) {
			cooldown.until = Math.max(cooldown.until, now + durationMs);
			return;
		}

		this.cooldowns.set(target.id, {
			target, since: now, until: now + durationMs, sends: 0, unregisteredAt: undefined,
		});
		this.log(`target ${target.id} of ${target.service} requests a cooldown of ${Math.round(durationMs)} ms (${status}, Retry-After ${retryAfter}), ${inFlight} requests in flight there`);
	}

	/** Number of targets in cooldown. */
	get size(): number {
		return this.cooldowns.size;
	}

	/** Remaining cooldown of a target, milliseconds; 0 when it accepts requests. */
	getRemainingMs(target: string, now: number): number {
		return Math.max(0, (this.cooldowns.get(target)?.until ?? 0) - now);
	}

	/** Counts a request that is sent to a target during its cooldown, for the log line at the end. */
	noteSend(target: string, now: number): void {
		const cooldown = this.cooldowns.get(target);
		if (cooldown && now < cooldown.until) {
			cooldown.sends++;
		}
	}

	/** Ends cooldowns that are over, and removes those of targets that are no longer registered. */
	tick(now: number, isKnown: (target: string) => boolean): void {
		for (const [id, cooldown] of this.cooldowns) {
			const {target, since, until, sends} = cooldown;
			cooldown.unregisteredAt = isKnown(id) ? undefined : cooldown.unregisteredAt ?? now;
			if (now >= until) {
				this.cooldowns.delete(id);
				this.log(`target ${id} of ${target.service} has completed its cooldown of ${Math.round(until - since)} ms, ${sends} requests were sent to it during that time`);
			} else if (cooldown.unregisteredAt !== undefined && now - cooldown.unregisteredAt > unregisteredRetentionMs) {
				this.cooldowns.delete(id);
				this.log(`target ${id} of ${target.service} was removed during its cooldown`);
			}
		}
	}

	/** Removes the cooldown of a target that has restarted: the new incarnation did not request it. */
	forget(target: string): void {
		this.cooldowns.delete(target);
	}
}
