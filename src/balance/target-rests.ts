import {type Target} from '../fleet/target.js';

type Rest = {readonly target: Target; readonly since: number; until: number; sends: number};

/** How the target asked for it. */
type Wish = {
	readonly restMs: number;
	/** As it was sent. */
	readonly retryAfter: string;
	/** Requests of all entries under way there. */
	readonly inFlight: number;
};

/** Targets that have asked this process to send them nothing for a while. What is asked of other entries is theirs alone. */
export class TargetRests {
	private readonly rests = new Map<string, Rest>();

	constructor(private readonly log: (message: string) => void) {}

	/** Notes what a target asks for. A shorter rest does not end a longer one that it asked for before. */
	begin(target: Target, {restMs, retryAfter, inFlight}: Wish, now: number): void {
		const rest = this.rests.get(target.id);
		if (rest) {
			rest.until = Math.max(rest.until, now + restMs);
			return;
		}

		this.rests.set(target.id, {
			target, since: now, until: now + restMs, sends: 0,
		});
		this.log(`target ${target.id} of ${target.service} asks for ${Math.round(restMs)} ms of rest (Retry-After ${retryAfter}), ${inFlight} requests under way there`);
	}

	/** Notes that a request is sent to a target, so that the end of a rest tells whether it was kept. */
	noteSend(target: string, now: number): void {
		const rest = this.rests.get(target);
		if (rest && now < rest.until) {
			rest.sends++;
		}
	}

	/** Ends the rests that are over. */
	tick(now: number): void {
		for (const [id, {target, since, until, sends}] of this.rests) {
			if (now >= until) {
				this.rests.delete(id);
				this.log(`target ${id} of ${target.service} has had its rest of ${Math.round(until - since)} ms, ${sends} requests were sent to it meanwhile`);
			}
		}
	}
}
