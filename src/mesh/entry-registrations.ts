import {describeItemProblem} from '../key-value/describe-item-problem.js';
import {type StoredValue} from '../key-value/stored-value.js';
import {LinkAddress} from '../link/link-address.js';

type RegisteredEntry = {readonly id: string; readonly address: LinkAddress};

const prefix = 'wardswitch/entries/';

/** The keys under which entries register with their link addresses. */
export const entryRegistrations = {
	prefix,
	getKey: (id: string): string => `${prefix}${id}`,
	/** Reads the items under the prefix; `report` is called for each that is no registration. */
	read: (items: readonly StoredValue[], report: (problem: string) => void): RegisteredEntry[] => items.flatMap(({key, value}) => {
		const id = key.slice(prefix.length);
		const address = LinkAddress.safeParse(value);
		if (id === '') {
			report(describeItemProblem(key, new Error('expected the id of an entry in the key')));
			return [];
		}

		if (!address.success) {
			report(describeItemProblem(key, address.error));
			return [];
		}

		return [{id, address: address.data}];
	}),
};
