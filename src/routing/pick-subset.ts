import {type Vm} from '../vm-list/vm.js';
import {rankByRendezvous} from './rank-by-rendezvous.js';

type SubsetOptions = {
	/** Id of the entry that the subset is for. */
	readonly entry: string;
	readonly availabilityZone: string;
	/** Targets to pick. */
	readonly size: number;
};

/** Share of the subset taken from other availability zones when the entry's own zone has enough targets. */
const remoteShare = 0.25;

/**
 * Picks the targets of one service that an entry keeps links to: mostly of its own availability zone, and some of
 * others in case its own is full or unavailable. Entries pick differently, so that every target is in many subsets.
 */
export function pickSubset(vms: readonly Vm[], options: SubsetOptions): Vm[] {
	if (vms.length <= options.size) {
		return [...vms];
	}

	const byId = new Map(vms.map(vm => [vm.id, vm]));
	const ranked = rankByRendezvous(options.entry, [...byId.keys()]).map(id => byId.get(id)!);
	const local = ranked.filter(vm => vm.availabilityZone === options.availabilityZone);
	const remote = ranked.filter(vm => vm.availabilityZone !== options.availabilityZone);
	const localCount = Math.min(local.length, Math.max(options.size - remote.length, Math.ceil(options.size * (1 - remoteShare))));
	return [...local.slice(0, localCount), ...remote.slice(0, options.size - localCount)];
}
