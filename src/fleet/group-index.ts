import {parseJsonItem} from '../key-value/parse-json-item.js';
import {type StoredValue} from '../key-value/stored-value.js';
import {GroupListing} from './group-listing.js';
import {groupKeys} from './group-keys.js';

/** Maps each engine to its group of ranks, from the listings that the groups' planners write to the store. */
export class GroupIndex {
	private groups = new Map<string, string>();
	private epochs = new Map<string, number>();

	/**
	 * Replaces all listings; one that cannot be parsed is ignored.
	 *
	 * @param report - called for each listing that is ignored
	 * @returns the groups whose epoch has changed, that is, which were formed again, as `SERVICE/GROUP`
	 */
	replace(items: readonly StoredValue[], report: (problem: string) => void): string[] {
		const groups = new Map<string, string>();
		const epochs = new Map<string, number>();
		for (const item of items) {
			const listing = parseJsonItem(item, GroupListing);
			if (listing.isErr()) {
				report(listing.error);
				continue;
			}

			const name = item.key.slice(groupKeys.prefix.length);
			epochs.set(name, listing.value.epoch);
			for (const engine of listing.value.engines) {
				groups.set(engine, name);
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
