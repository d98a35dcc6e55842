import {type Target} from '../fleet/target.js';
import {type StoredValue} from '../key-value/stored-value.js';
import {type ItemComparator} from '../view/item-comparator.js';
import {type FleetSource} from './fleet-source.js';

/**
 * Creates the check for which of two stored items is outdated, by their content: versions of the configuration only rise,
 * and a target that is leaving does not return under the same time of birth.
 */
export function makeItemComparator(source: FleetSource): ItemComparator {
	const readVersion = (item: StoredValue): number | undefined => {
		try {
			return source.readConfiguration({get: () => item})?.version;
		} catch {
			// Invalid configurations are logged by `FleetState`.
			return undefined;
		}
	};

	const readTarget = (item: StoredValue): Target | undefined => source.readTargets({list: () => [item]}, () => undefined).at(0);
	const isOlderConfiguration = (known: StoredValue, offered: StoredValue | undefined): boolean => {
		const knownVersion = readVersion(known);
		const offeredVersion = offered && readVersion(offered);
		return knownVersion !== undefined && (offered === undefined || (offeredVersion !== undefined && offeredVersion < knownVersion));
	};

	const isOlderTarget = (known: StoredValue, offered: StoredValue | undefined): boolean => {
		const before = readTarget(known);
		const after = offered && readTarget(offered);
		if (!before || !after) {
			return false;
		}

		const isEarlierIncarnation = (after.bornAt ?? Number.NEGATIVE_INFINITY) < (before.bornAt ?? Number.NEGATIVE_INFINITY);
		return isEarlierIncarnation || (after.bornAt === before.bornAt && before.isLeaving && !after.isLeaving);
	};

	return {
		isOlder(known, offered) {
			switch (source.getKind(known.key)) {
				case 'configuration': {
					return isOlderConfiguration(known, offered);
				}

				case 'target': {
					return isOlderTarget(known, offered);
				}

				default: {
					return undefined;
				}
			}
		},
		isSameIncarnation(removed, offered) {
			const before = source.getKind(removed.key) === 'target' ? readTarget(removed) : undefined;
			const after = readTarget(offered);
			return before !== undefined && after !== undefined && (after.bornAt ?? Number.NEGATIVE_INFINITY) <= (before.bornAt ?? Number.NEGATIVE_INFINITY);
		},
	};
}
