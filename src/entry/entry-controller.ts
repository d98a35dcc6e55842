import {type TargetPool} from '../calls/target-pool.js';
import {type EntrySettings} from '../config/entry-settings.js';
import {type LimitController} from '../limits/limit-controller.js';
import {LimitKind} from '../limits/limit-kind.js';
import {type LinkMessage} from '../link/link-message.js';
import {type MessageOf} from '../link/message-of.js';
import {type Membership} from '../membership/membership.js';
import {type PeerPool} from '../membership/peer-pool.js';
import {type ProcessMetrics} from '../metrics/process-metrics.js';
import {fetchVmList} from '../vm-list/fetch-vm-list.js';
import {type VmList} from '../vm-list/vm-list.js';
import {rankByRendezvous} from '../routing/rank-by-rendezvous.js';
import {type TableController} from '../table/table-controller.js';
import {type GroupPlanners} from './group-planners.js';

type Send = (message: LinkMessage) => boolean;

type ControllerOptions = {
	readonly groups: GroupPlanners;
	readonly id: string;
	readonly availabilityZone: string;
	readonly platform: EntrySettings['platform'];
	readonly membership: Membership;
	readonly table: TableController;
	readonly targets: TargetPool;
	readonly peers: PeerPool;
	readonly limits: LimitController;
	readonly clock: () => number;
	readonly random: () => number;
	readonly metrics: ProcessMetrics;
	readonly log: (message: string) => void;
};

const tickMs = 250;
const heartbeatMs = 2000;
/** Entries of a zone that watch the platform for all of it. */
const watchersPerZone = 2;
/** How long a starting entry waits to hear of newer tables before it is ready, milliseconds. */
const settleMs = 1500;

/** The control work of an entry: heartbeats, the list of VMs, the table's spread, limits, and what `status` shows. */
export class EntryController {
	private list: VmList | undefined;
	private listAt = 0;
	private nextListAt = 0;
	private nextHeartbeatAt = 0;
	private startedAt = 0;
	private isLeaving = false;
	private hasHeardPeer = false;
	private timer: NodeJS.Timeout | undefined;

	constructor(private readonly options: ControllerOptions) {}

	/** Whether callers may be sent here: a table is in force, and peers had their chance to name a newer one. */
	get isReady(): boolean {
		const {table, clock, membership} = this.options;
		const hasSettled = this.hasHeardPeer || membership.listPeers().length === 0 || clock() - this.startedAt > settleMs;
		return !this.isLeaving && table.current !== undefined && hasSettled;
	}

	async start(): Promise<void> {
		this.startedAt = this.options.clock();
		await this.readList();
		this.tick();
		this.timer = setInterval(() => {
			this.options.metrics.measureControlCpu(() => {
				this.tick();
			});
		}, tickMs);
	}

	/** Tells the balancer before this entry, by `/readyz`, to send no more callers. */
	leave(): void {
		this.isLeaving = true;
	}

	close(): void {
		clearInterval(this.timer);
	}

	/** Tells every open peer and target of the version in force, at once. */
	announce(): void {
		const heartbeat = this.makeHeartbeat();
		this.options.peers.broadcast(heartbeat);
		for (const link of this.options.targets.list()) {
			link.send(heartbeat);
		}
	}

	/** Learns that an entry has opened a link; one that is not known yet is looked up at once. */
	greet(id: string): void {
		if (this.options.membership.getVm(id) === undefined) {
			this.nextListAt = 0;
		}
	}

	/** Learns of a table version from a target; asks a peer of the zone for it. */
	noteVersion(version: number): void {
		const {table, clock, membership, peers} = this.options;
		const now = clock();
		const wish = table.noteVersion(version, '', now);
		if (!wish) {
			return;
		}

		for (const vm of membership.pickPeers(now)) {
			peers.send(vm, wish);
		}
	}

	/** Takes expert loads that rank 0 of a group reported. */
	takeLoads(message: MessageOf<'map-loads'>): void {
		void this.options.groups.takeLoads(message, this.options.clock());
	}

	/** Handles a message of another entry, or of an operator. */
	receive(message: LinkMessage, send: Send, sender: string): void {
		const {limits, table} = this.options;
		const now = this.options.clock();
		switch (message.type) {
			case 'heartbeat': {
				this.hear(message, send, now);
				break;
			}

			case 'welcome': {
				this.hasHeardPeer = true;
				const wish = table.noteVersion(message.tableVersion, '', now);
				if (wish) {
					send(wish);
				}

				break;
			}

			case 'table-wanted': {
				const offered = table.offer(message);
				if (offered) {
					send(offered);
				}

				break;
			}

			case 'table-offered': {
				table.takeOffer(message);
				break;
			}

			case 'borrow': {
				this.lend(message, send, sender, now);
				break;
			}

			case 'lend': {
				limits.takeLoan(message);
				break;
			}

			default:
		}
	}

	/** The document of `/status`. */
	getStatus(): unknown {
		const {id, availabilityZone, membership, table, targets, clock} = this.options;
		const now = clock();
		return {
			id,
			availabilityZone,
			isReady: this.isReady,
			table: {
				version: table.version,
				changeId: table.changeId,
				platformAgeMs: table.platformAt === 0 ? undefined : now - table.platformAt,
				trouble: table.trouble,
				isWatcher: this.isWatcher(now),
			},
			list: {vms: this.list?.vms.length ?? 0, ageMs: this.listAt === 0 ? undefined : now - this.listAt},
			entries: membership.listPeers().map(vm => ({id: vm.id, availabilityZone: vm.availabilityZone, state: membership.getState(vm.id, now)})),
			targets: targets.list().map(link => ({
				id: link.vm.id,
				service: link.vm.service,
				incarnation: link.incarnation,
				availabilityZone: link.vm.availabilityZone,
				isReady: link.isReady,
				isLeaving: link.isLeaving,
				load: link.load,
				loadAgeMs: link.loadAt === 0 ? undefined : now - link.loadAt,
				openCalls: link.openCalls,
			})),
		};
	}

	private tick(): void {
		const {membership, table, targets, peers, limits, clock} = this.options;
		const now = clock();
		targets.tick(now);
		peers.tick(now);
		limits.tick(now);
		table.setWatcher(this.isWatcher(now), now);
		table.tick(now);
		this.options.groups.tick(now, this.list?.vms ?? []);
		if (now >= this.nextHeartbeatAt) {
			this.nextHeartbeatAt = now + heartbeatMs;
			const heartbeat = this.makeHeartbeat();
			for (const vm of membership.pickNext(now)) {
				peers.send(vm, heartbeat);
			}
		}

		if (now >= this.nextListAt) {
			this.nextListAt = now + (this.options.platform.vmListIntervalMs * (0.5 + this.options.random()));
			void this.readList();
		}
	}

	private async readList(): Promise<void> {
		const {platform, membership, targets, clock, metrics} = this.options;
		metrics.platformCalls.inc({operation: 'vm-list'});
		const answer = await fetchVmList({url: platform.vmList, timeoutMs: platform.timeoutMs, previous: this.list});
		if (answer.isErr()) {
			this.options.log(answer.error.message);
			return;
		}

		const now = clock();
		this.list = answer.value;
		this.listAt = now;
		membership.noteList(answer.value.vms, now);
		targets.noteList(answer.value.vms, now);
	}

	private hear(heartbeat: MessageOf<'heartbeat'>, send: Send, now: number): void {
		const {membership, table} = this.options;
		this.hasHeardPeer = true;
		membership.hear(heartbeat, now);
		const wish = table.noteVersion(heartbeat.tableVersion, heartbeat.changeId, now);
		if (wish) {
			send(wish);
		} else if (heartbeat.tableVersion < table.version) {
			send(this.makeHeartbeat());
		}
	}

	/* A bucket's name says which row holds its limit; both sides read it from the table in force. */
	private lend(wish: MessageOf<'borrow'>, send: Send, borrower: string, now: number): void {
		const [kindText, service, organisation] = wish.bucket.split('/');
		const kind = LimitKind.safeParse(kindText);
		const value = kind.success ? this.options.table.current?.findRow(service, organisation, '*')?.[kind.data] : undefined;
		if (kind.success && value !== undefined) {
			send(this.options.limits.lend(wish, borrower, {kind: kind.data, value}, now));
		}
	}

	private makeHeartbeat(): MessageOf<'heartbeat'> {
		const {membership, table, random, clock} = this.options;
		return membership.makeHeartbeat({tableVersion: table.version, changeId: table.changeId}, random, clock());
	}

	private isWatcher(now: number): boolean {
		const {id, availabilityZone, membership} = this.options;
		const ranked = rankByRendezvous(availabilityZone, membership.listLive(now, availabilityZone));
		return ranked.slice(0, watchersPerZone).includes(id);
	}
}
