import {type Vm} from './vm.js';

/** The platform's list of VMs at the time of one read. */
export type VmList = {
	readonly vms: readonly Vm[];
	/** Entity tag of the list; empty if the platform sent none. */
	readonly tag: string;
};
