import {type MessageOf} from '../link/message-of.js';
import {type Vm} from '../vm-list/vm.js';
import {rankByRendezvous} from '../routing/rank-by-rendezvous.js';
import {type PeerState} from './peer-state.js';

type Heartbeat = MessageOf<'heartbeat'>;
type PeerCounter = Heartbeat['peers'][number];
type Member = {vm: Vm; incarnation: string; counter: number; lastHeartbeatAt: number | undefined; listedAt: number; isListed: boolean};

type MembershipOptions = {
	readonly id: string;
	readonly availabilityZone: string;
	readonly incarnation: string;
};

/** Time without a heartbeat after which an entry is suspect, and after which it is dead, milliseconds, up to `unscaledMembers`. */
const suspectAfterMs = 6000;
const deadAfterMs = 15_000;
/** Number of entries up to which these times apply. Beyond it they grow in proportion, as the counter of each entry is passed on less often. */
const unscaledMembers = 16;
/** Maximum number of other entries whose counters one heartbeat carries. */
const maximumCounters = 4;
/** Number of peers in the own availability zone, and in each other one, that receive heartbeats. */
const localPeerCount = 3;
const remotePeerCount = 1;

/**
 * Gossip-based failure detector for the other entries. The platform's list names the entries that may exist; heartbeats show which are
 * live, either directly or by a counter that a third entry passes on. Times are in milliseconds.
 *
 * @see https://www.cs.cornell.edu/home/rvr/papers/GossipFD.pdf for the heartbeat counters
 */
export class Membership {
	private readonly members = new Map<string, Member>();
	private counter = 0;
	private round = 0;

	constructor(private readonly options: MembershipOptions) {}

	/** Updates the members from the platform's list. The list lags: an entry that is missing from it is kept while it is live. */
	noteList(vms: readonly Vm[], now: number): void {
		for (const member of this.members.values()) {
			member.isListed = false;
		}

		for (const vm of vms) {
			if (vm.role !== 'entry' || vm.id === this.options.id) {
				continue;
			}

			const member = this.members.get(vm.id);
			if (member) {
				member.vm = vm;
				member.isListed = true;
			} else {
				this.members.set(vm.id, {
					vm, incarnation: '', counter: 0, lastHeartbeatAt: undefined, listedAt: now, isListed: true,
				});
			}
		}

		for (const [id, member] of this.members) {
			if (!member.isListed && this.getState(id, now) !== 'live') {
				this.members.delete(id);
			}
		}
	}

	/** Processes a heartbeat and the counters that it passes on. */
	receiveHeartbeat(heartbeat: Heartbeat, now: number): void {
		this.noteCounter(heartbeat, now);
		for (const peerCounter of heartbeat.peers) {
			this.noteCounter(peerCounter, now);
		}
	}

	/** The state of another entry at `now`. */
	getState(id: string, now: number): PeerState {
		const lastHeartbeatAt = this.members.get(id)?.lastHeartbeatAt;
		if (lastHeartbeatAt === undefined) {
			return 'unheard';
		}

		const silenceMs = now - lastHeartbeatAt;
		const timeoutScale = Math.max(1, this.members.size / unscaledMembers);
		if (silenceMs < suspectAfterMs * timeoutScale) {
			return 'live';
		}

		return silenceMs < deadAfterMs * timeoutScale ? 'suspect' : 'dead';
	}

	/** The VM of another entry; undefined if it is not known. */
	getVm(id: string): Vm | undefined {
		return this.members.get(id)?.vm;
	}

	/** All known entries except this one. */
	listPeers(): Vm[] {
		return [...this.members.values()].map(({vm}) => vm);
	}

	/** Ids of the entries presumed live, including this one; only those of one availability zone if given. */
	listLive(now: number, availabilityZone?: string): string[] {
		const live = [...this.members]
			.filter(([id, {vm}]) => (availabilityZone === undefined || vm.availabilityZone === availabilityZone) && this.isPresumedLive(id, now))
			.map(([id]) => id);
		const isOwnZone = availabilityZone === undefined || availabilityZone === this.options.availabilityZone;
		return isOwnZone ? [...live, this.options.id] : live;
	}

	/** Share of the known availability zones that have an entry presumed live; 1 if none is partitioned. */
	getReachableZoneShare(now: number): number {
		const known = new Set([this.options.availabilityZone]);
		const reachable = new Set([this.options.availabilityZone]);
		for (const [id, {vm}] of this.members) {
			known.add(vm.availabilityZone);
			if (this.isPresumedLive(id, now)) {
				reachable.add(vm.availabilityZone);
			}
		}

		return reachable.size / known.size;
	}

	/** Peers that heartbeats go to: a few in the own availability zone and one in each other zone. */
	pickHeartbeatPeers(now: number): Vm[] {
		const byZone = new Map<string, Vm[]>();
		for (const {vm} of this.members.values()) {
			byZone.set(vm.availabilityZone, [...(byZone.get(vm.availabilityZone) ?? []), vm]);
		}

		return [...byZone].flatMap(([zone, vms]) => {
			const count = zone === this.options.availabilityZone ? localPeerCount : remotePeerCount;
			const byId = new Map(vms.map(vm => [vm.id, vm]));
			const ranked = rankByRendezvous(this.options.id, [...byId.keys()]);
			const live = ranked.filter(id => this.getState(id, now) !== 'dead');
			const dead = ranked.filter(id => this.getState(id, now) === 'dead');
			return [...live, ...dead].slice(0, count).map(id => byId.get(id)!);
		});
	}

	/** Receivers of the next heartbeat, by round robin: one peer in the own zone and one in another. */
	pickHeartbeatReceivers(now: number): Vm[] {
		this.round++;
		const peers = this.pickHeartbeatPeers(now);
		const local = peers.filter(vm => vm.availabilityZone === this.options.availabilityZone);
		const remote = peers.filter(vm => vm.availabilityZone !== this.options.availabilityZone);
		return [local, remote].filter(({length}) => length > 0).map(list => list[this.round % list.length]);
	}

	/** Makes the next heartbeat; `random` selects the counters that it passes on. */
	makeHeartbeat(table: {readonly tableVersion: number; readonly changeId: string}, random: () => number, now: number): Heartbeat {
		this.counter++;
		const live = [...this.members].filter(([id]) => this.getState(id, now) === 'live');
		const start = Math.floor(random() * live.length);
		const peers: PeerCounter[] = Array.from({length: Math.min(maximumCounters, live.length)}, (_, index) => {
			const [id, {incarnation, counter}] = live[(start + index) % live.length];
			return {id, incarnation, counter};
		});
		return {
			type: 'heartbeat', id: this.options.id, incarnation: this.options.incarnation, counter: this.counter, ...table, peers,
		};
	}

	private isPresumedLive(id: string, now: number): boolean {
		const state = this.getState(id, now);
		// An entry that has just started has received no heartbeat yet; it must not conclude that it is alone.
		const isNew = state === 'unheard' && now - this.members.get(id)!.listedAt < deadAfterMs;
		return isNew || state === 'live' || state === 'suspect';
	}

	/* Incarnation ids begin with the start time, so a later one compares greater. */
	private noteCounter({id, incarnation, counter}: PeerCounter, now: number): void {
		const member = this.members.get(id);
		if (!member || incarnation < member.incarnation) {
			return;
		}

		if (incarnation > member.incarnation || counter > member.counter) {
			member.incarnation = incarnation;
			member.counter = counter;
			member.lastHeartbeatAt = now;
		}
	}
}
