import {groupKeys} from '../fleet/group-keys.js';
import {type GroupListing} from '../fleet/group-listing.js';
import {type Registry} from '../key-value/registry.js';
import {Registration} from '../mesh/registration.js';
import {runGuarded} from '../log/run-guarded.js';

type PublicationOptions = {
	readonly service: string;
	readonly group: string;
	readonly registry: Registry;
	readonly random: () => number;
	readonly log: (message: string) => void;
};

/** Publishes the list of the group's engines in the store: once for each epoch and each change of its ranks. */
export class GroupPublication {
	private written = '';
	private registration: Registration | undefined;

	constructor(private readonly options: PublicationOptions) {}

	/**
	 * Writes the listing if it has changed, and keeps it registered.
	 *
	 * @param listing - the current listing; undefined while some rank has not reported recently
	 * @param era - latest known era of the store; the listing is written again in a new era
	 */
	tick(listing: GroupListing | undefined, era: number, now: number): void {
		const value = JSON.stringify(listing);
		if (listing && value !== this.written) {
			const {service, group} = this.options;
			this.written = value;
			this.registration = new Registration({...this.options, key: groupKeys.make(service, group), value});
		}

		runGuarded(this.options.log, 'listing of the group', async () => this.registration?.tick(now, {era}));
	}
}
