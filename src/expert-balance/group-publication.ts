import {groupKeys} from '../fleet/group-keys.js';
import {type GroupListing} from '../fleet/group-listing.js';
import {type Registry} from '../key-value/registry.js';
import {Registration} from '../mesh/registration.js';

type PublicationOptions = {
	readonly service: string;
	readonly group: string;
	readonly registry: Registry;
	readonly random: () => number;
	readonly log: (message: string) => void;
};

/** Writes which engines are the group's into the store: once for each epoch and each change of its ranks. */
export class GroupPublication {
	private written = '';
	private registration: Registration | undefined;

	constructor(private readonly options: PublicationOptions) {}

	/**
	 * Writes what has changed, and keeps it.
	 *
	 * @param listing - the group as it is known now; undefined while not all of its ranks are heard
	 * @param era - era of the store, as far as known: what was written is written again in a new one
	 */
	tick(listing: GroupListing | undefined, era: number, now: number): void {
		const value = JSON.stringify(listing);
		if (listing && value !== this.written) {
			const {service, group} = this.options;
			this.written = value;
			this.registration = new Registration({...this.options, key: groupKeys.make(service, group), value});
		}

		void this.registration?.tick(now, {era});
	}
}
