import {type LostRequest} from './lost-request.js';

/**
 * A target that has crashed is detected, or registers a new incarnation, within this time after its requests were lost,
 * milliseconds. A request that was lost earlier is not attributed to the crash.
 */
const retentionMs = 10_000;
/** Maximum number of lost requests kept; beyond it the oldest are evicted. */
const maximumLosses = 1000;

/** Requests lost at targets of which it is not known yet whether they crashed. */
export class LostRequests {
	private losses: Array<{readonly lost: LostRequest; readonly at: number}> = [];

	/** Notes a lost request; `now` in milliseconds. */
	add(lost: LostRequest, now: number): void {
		this.losses = this.losses.filter(({at}) => now - at <= retentionMs).slice(1 - maximumLosses);
		this.losses.push({lost, at: now});
	}

	/** Takes the requests that were recently lost at a target that has crashed; `now` in milliseconds. */
	take(target: string, now: number): readonly LostRequest[] {
		const taken = this.losses.filter(({lost, at}) => lost.incarnation.id === target && now - at <= retentionMs);
		this.losses = this.losses.filter(loss => !taken.includes(loss));
		return taken.map(({lost}) => lost);
	}
}
