import {type Membership} from '../membership/membership.js';
import {rankByRendezvous} from '../routing/rank-by-rendezvous.js';

/** How long a result is cached, milliseconds. */
const cacheMs = 1000;
/** Cached results at most; above it the cache is cleared. */
const maximumCached = 10_000;

/** Finds the live entry that owns a limit's bucket, by rendezvous hashing. */
export class LimitOwnerFinder {
	private readonly owners = new Map<string, {readonly owner: string; readonly foundAt: number}>();

	constructor(private readonly membership: Membership, private readonly clock: () => number) {}

	/** @returns id of the entry that owns the bucket `name` */
	findOwner(name: string): string {
		const now = this.clock();
		const cached = this.owners.get(name);
		if (cached && now - cached.foundAt < cacheMs) {
			return cached.owner;
		}

		if (this.owners.size >= maximumCached) {
			this.owners.clear();
		}

		const [owner] = rankByRendezvous(name, this.membership.listLive(now));
		this.owners.set(name, {owner, foundAt: now});
		return owner;
	}
}
