import {type Membership} from '../membership/membership.js';
import {rankByRendezvous} from '../routing/rank-by-rendezvous.js';

/** How long a home that was found is not looked for again, milliseconds. */
const cacheMs = 1000;
const maximumCached = 10_000;

/** Finds the entry that is home to a limit, among those that are heard. */
export class LimitOwnerFinder {
	private readonly owners = new Map<string, {readonly home: string; readonly foundAt: number}>();

	constructor(private readonly membership: Membership, private readonly clock: () => number) {}

	findOwner(name: string): string {
		const now = this.clock();
		const cached = this.owners.get(name);
		if (cached && now - cached.foundAt < cacheMs) {
			return cached.home;
		}

		if (this.owners.size >= maximumCached) {
			this.owners.clear();
		}

		const [owner] = rankByRendezvous(name, this.membership.listLive(now));
		this.owners.set(name, {home: owner, foundAt: now});
		return owner;
	}
}
