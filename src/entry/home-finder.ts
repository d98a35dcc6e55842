import {type Membership} from '../membership/membership.js';
import {rankByRendezvous} from '../routing/rank-by-rendezvous.js';

/** How long a home that was found is not looked for again, milliseconds. */
const keptMs = 1000;
const maximumKept = 10_000;

/** Finds the entry that is home to a limit, among those that are heard. */
export class HomeFinder {
	private readonly homes = new Map<string, {readonly home: string; readonly foundAt: number}>();

	constructor(private readonly membership: Membership, private readonly clock: () => number) {}

	get(name: string): string {
		const now = this.clock();
		const known = this.homes.get(name);
		if (known && now - known.foundAt < keptMs) {
			return known.home;
		}

		if (this.homes.size >= maximumKept) {
			this.homes.clear();
		}

		const [home] = rankByRendezvous(name, this.membership.listLive(now));
		this.homes.set(name, {home, foundAt: now});
		return home;
	}
}
