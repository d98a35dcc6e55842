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

/** Which group of ranks each engine belongs to, as the planners of the groups have written it. */
export class GroupIndex {
	private groups = new Map<string, string>();
	private epochs = new Map<string, number>();

	/**
	 * Takes the listings in the store.
	 *
	 * @returns groups that have been formed anew since, as `SERVICE/GROUP`; a listing that cannot be read lists nothing
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

	/** Name of the group that the engine at an address belongs to within its service; undefined when none is known. */
	getGroup(service: string, address: string): string | undefined {
		const name = this.groups.get(address);
		return name?.startsWith(`${service}/`) ? name.slice(service.length + 1) : undefined;
	}
}
