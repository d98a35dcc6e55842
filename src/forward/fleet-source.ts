import {type RoutingConfiguration} from '../fleet/routing-configuration.js';
import {type Target} from '../fleet/target.js';
import {type StoredValue} from '../key-value/stored-value.js';

/** Reads what operators and targets have put into the store; how it is written there differs between platforms. */
export type FleetSource = {
	/**
	 * The configuration in the store; undefined when there is none.
	 *
	 * @throws Error naming the place when it cannot be used
	 */
	readConfiguration(view: {get(key: string): StoredValue | undefined}): RoutingConfiguration | undefined;
	/** What a key stands for; undefined for those that name neither. */
	getKind(key: string): 'configuration' | 'target' | undefined;
	/** The registered targets, the one written last at the end; `report` is told of each registration that cannot be used. */
	readTargets(view: {list(prefix: string): readonly StoredValue[]}, report: (problem: string) => void): Target[];
};
