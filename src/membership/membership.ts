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

/** Silence after which an entry is suspect, and dead, while there are few of them. */
const suspectAfterMs = 6000;
const deadAfterMs = 15_000;
/** Entries up to which these times hold; news of each gets rarer in proportion beyond. */
const unscaledMembers = 16;
/** Members whose counters one heartbeat carries. */
const maximumCounters = 4;
/** Peers in the own zone, and in each other zone, that heartbeats go to. */
const localPeerCount = 3;
const remotePeerCount = 1;

/**
 * The entries as one entry sees them. The platform's list says who may exist; heartbeats say who lives, either
 * directly or by a counter that a third entry passes on.
 *
 * @see https://www.cs.cornell.edu/home/rvr/papers/GossipFD.pdf the counters
 */
export class Membership {
	private readonly members = new Map<string, Member>();
	private counter = 0;
	private round = 0;

	constructor(private readonly options: MembershipOptions) {}

	/** Takes the platform's list. It lags: an entry that is missing from it stays while it is heard. */
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

	/** Takes a heartbeat and what it passes on. */
	receiveHeartbeat(heartbeat: Heartbeat, now: number): void {
		this.noteCounter(heartbeat, now);
		for (const peerCounter of heartbeat.peers) {
			this.noteCounter(peerCounter, now);
		}
	}

	/** The state of another entry at `now` (milliseconds since the epoch). */
	getState(id: string, now: number): PeerState {
		const heardAt = this.members.get(id)?.lastHeartbeatAt;
		if (heardAt === undefined) {
			return 'unheard';
		}

		const silenceMs = now - heardAt;
		const timeoutScale = Math.max(1, this.members.size / unscaledMembers);
		if (silenceMs < suspectAfterMs * timeoutScale) {
			return 'live';
		}

		return silenceMs < deadAfterMs * timeoutScale ? 'suspect' : 'dead';
	}

	/** Where another entry is; undefined when it is not known. */
	getVm(id: string): Vm | undefined {
		return this.members.get(id)?.vm;
	}

	/** Every known entry but this one. */
	listPeers(): Vm[] {
		return [...this.members.values()].map(({vm}) => vm);
	}

	/** Ids of the entries that are heard or were just listed, this one included; in one zone if given. */
	listLive(now: number, availabilityZone?: string): string[] {
		const live = [...this.members]
			.filter(([id, {vm}]) => (availabilityZone === undefined || vm.availabilityZone === availabilityZone) && this.isPresumedLive(id, now))
			.map(([id]) => id);
		const isOwnZone = availabilityZone === undefined || availabilityZone === this.options.availabilityZone;
		return isOwnZone ? [...live, this.options.id] : live;
	}

	/** Share of the known availability zones from which an entry is heard, 1 when none is cut off. */
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

	/** The peers that this entry sends heartbeats to: a few of its zone and one of each other zone. */
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

	/** Whom the next heartbeat goes to: one peer of the zone and one of the others, each in turn. */
	pickHeartbeatReceivers(now: number): Vm[] {
		this.round++;
		const peers = this.pickHeartbeatPeers(now);
		const local = peers.filter(vm => vm.availabilityZone === this.options.availabilityZone);
		const remote = peers.filter(vm => vm.availabilityZone !== this.options.availabilityZone);
		return [local, remote].filter(({length}) => length > 0).map(list => list[this.round % list.length]);
	}

	/** Makes the next heartbeat; `random` picks whom it passes on. */
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
		// An entry that starts has heard nobody yet: it must not take itself for the only one.
		const isNew = state === 'unheard' && now - this.members.get(id)!.listedAt < deadAfterMs;
		return isNew || state === 'live' || state === 'suspect';
	}

	/* Incarnations begin with their time of start, so that the later one is the greater. */
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
