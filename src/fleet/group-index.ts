import {type StoredValue} from '../key-value/stored-value.js';
import {GroupListing} from './group-listing.js';
import {groupKeys} from './group-keys.js';

const parse = (text: string): unknown => {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
};

/** Maps each engine to its group of ranks, from the listings that the groups' planners write to the store. */
export class GroupIndex {
	private groups = new Map<string, string>();
	private epochs = new Map<string, number>();

	/**
	 * Replaces all listings; one that cannot be parsed is ignored.
	 *
	 * @returns the groups whose epoch has changed, that is, which were formed again, as `SERVICE/GROUP`
	 */
	replace(items: readonly StoredValue[]): string[] {
		const groups = new Map<string, string>();
		const epochs = new Map<string, number>();
		for (const {key, value} of items) {
			const listing = GroupListing.safeParse(parse(value));
			if (listing.success) {
				const name = key.slice(groupKeys.prefix.length);
				epochs.set(name, listing.data.epoch);
				for (const engine of listing.data.engines) {
					groups.set(engine, name);
				}
			}
		}

		const reformed = [...epochs].filter(([name, epoch]) => epoch !== (this.epochs.get(name) ?? epoch)).map(([name]) => name);
		this.groups = groups;
		this.epochs = epochs;
		return reformed;
	}

	/** Name of the group within its service that the engine at an address belongs to; undefined if none is known. */
	getGroup(service: string, address: string): string | undefined {
		const name = this.groups.get(address);
		return name?.startsWith(`${service}/`) ? name.slice(service.length + 1) : undefined;
	}
}
