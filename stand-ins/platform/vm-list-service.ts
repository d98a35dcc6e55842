import {type Vm} from '../../src/vm-list/vm.js';

/** A running stand-in of the platform's list of VMs; scenarios change `vms` and `isDown`. */
export type VmListService = {
	readonly url: string;
	readonly vms: Vm[];
	isDown: boolean;
	close(): Promise<void>;
};
