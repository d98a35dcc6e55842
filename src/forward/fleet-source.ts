import {type RoutingConfiguration} from '../fleet/routing-configuration.js';
import {type Target} from '../fleet/target.js';
import {type StoredValue} from '../key-value/stored-value.js';

/** Decodes the configuration and the targets' registrations from the store, whose format differs between platforms. */
export type FleetSource = {
	/**
	 * Returns the configuration in the store; undefined when there is none.
	 *
	 * @throws Error naming the invalid part of the configuration
	 */
	readConfiguration(view: {get(key: string): StoredValue | undefined}): RoutingConfiguration | undefined;
	/** Returns what a key holds; undefined when it is neither. */
	getKind(key: string): 'configuration' | 'target' | undefined;
	/** Returns the registered targets, the most recently written last; `report` is called for each invalid registration. */
	readTargets(view: {list(prefix: string): readonly StoredValue[]}, report: (problem: string) => void): Target[];
};
