import {type TargetPool} from '../calls/target-pool.js';
import {type EntrySettings} from '../config/entry-settings.js';
import {type LimitController} from '../limits/limit-controller.js';
import {LimitKind} from '../limits/limit-kind.js';
import {type LinkMessage} from '../link/link-message.js';
import {type MessageOf} from '../link/message-of.js';
import {type Membership} from '../membership/membership.js';
import {type PeerPool} from '../membership/peer-pool.js';
import {type ProcessMetrics} from '../metrics/process-metrics.js';
import {ProblemLog} from '../log/problem-log.js';
import {fetchVmList} from '../vm-list/fetch-vm-list.js';
import {type VmList} from '../vm-list/vm-list.js';
import {rankByRendezvous} from '../routing/rank-by-rendezvous.js';
import {type TableController} from '../table/table-controller.js';
import {runGuarded} from '../log/run-guarded.js';
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

/** Interval of the controller's timer, milliseconds. */
const tickIntervalMs = 250;
/** Interval of heartbeats to peers, milliseconds. */
const heartbeatIntervalMs = 2000;
/** Entries of an availability zone that watch the platform's store on behalf of the zone. */
const watchersPerZone = 2;
/** How long a starting entry waits for a peer to announce a newer table before it is ready, milliseconds. */
const settleTimeoutMs = 1500;

/** The control plane of an entry: heartbeats, the VM list, distribution of the table, limits, and the document of `/status`. */
export class EntryController {
	private vmList: VmList | undefined;
	private readonly vmProblems: ProblemLog;
	private vmListAt = 0;
	private nextVmListAt = 0;
	private nextHeartbeatAt = 0;
	private startedAt = 0;
	private isLeaving = false;
	private hasPeerAnswered = false;
	private timer: NodeJS.Timeout | undefined;

	constructor(private readonly options: ControllerOptions) {
		this.vmProblems = new ProblemLog(problem => {
			options.log(`VM left out: ${problem}`);
		});
	}

	/** Whether callers may be sent here: a table is in force, and a peer has answered or the settle time-out has passed. */
	get isReady(): boolean {
		const {table, clock, membership} = this.options;
		const hasSettled = this.hasPeerAnswered || membership.listPeers().length === 0 || clock() - this.startedAt > settleTimeoutMs;
		return !this.isLeaving && table.current !== undefined && hasSettled;
	}

	/** Reads the VM list and starts the timer. */
	async start(): Promise<void> {
		this.startedAt = this.options.clock();
		await this.refreshVmList();
		this.tick();
		this.timer = setInterval(() => {
			this.options.metrics.measureControlCpu(() => {
				runGuarded(this.options.log, 'periodic check', () => {
					this.tick();
				});
			});
		}, tickIntervalMs);
	}

	/** Makes `/readyz` fail, so that the load balancer in front of this entry sends no more callers. */
	startLeaving(): void {
		this.isLeaving = true;
	}

	/** Stops the timer. */
	close(): void {
		clearInterval(this.timer);
	}

	/** Sends the table version in force to every connected peer and target at once. */
	broadcastTableVersion(): void {
		const heartbeat = this.makeHeartbeat();
		this.options.peers.broadcast(heartbeat);
		for (const link of this.options.targets.list()) {
			link.send(heartbeat);
		}
	}

	/** Notes that an entry has opened a link; for an unknown entry the VM list is read at the next tick. */
	noteEntryHello(id: string): void {
		if (this.options.membership.getVm(id) === undefined) {
			this.nextVmListAt = 0;
		}
	}

	/** Notes a table version that a target reported; if it is newer, peers are asked for that table. */
	noteTableVersion(version: number): void {
		const {table, clock, membership, peers} = this.options;
		const now = clock();
		const request = table.noteVersion(version, '', now);
		if (!request) {
			return;
		}

		for (const vm of membership.pickHeartbeatPeers(now)) {
			peers.send(vm, request);
		}
	}

	/** Passes on expert loads that rank 0 of a group reported. */
	noteExpertLoads(message: MessageOf<'map-loads'>): void {
		runGuarded(this.options.log, 'planning of a map', async () => this.options.groups.noteExpertLoads(message, this.options.clock()));
	}

	/** Handles a message from another entry or an operator; `sender` is its id, empty for a link that this entry opened. */
	receive(message: LinkMessage, send: Send, sender: string): void {
		const {limits, table} = this.options;
		const now = this.options.clock();
		switch (message.type) {
			case 'heartbeat': {
				this.handleHeartbeat(message, send, now);
				break;
			}

			case 'welcome': {
				this.hasPeerAnswered = true;
				const request = table.noteVersion(message.tableVersion, '', now);
				if (request) {
					send(request);
				}

				break;
			}

			case 'table-wanted': {
				const offered = table.createOffer(message);
				if (offered) {
					send(offered);
				}

				break;
			}

			case 'table-offered': {
				table.applyOffer(message);
				break;
			}

			case 'borrow': {
				this.handleBorrow(message, send, sender, now);
				break;
			}

			case 'lend': {
				limits.receiveLoan(message);
				break;
			}

			default:
		}
	}

	/** Makes the document of `/status`. */
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
				platformAgeMs: table.platformReadAt === 0 ? undefined : now - table.platformReadAt,
				trouble: table.divergence,
				isWatcher: this.isWatcher(now),
			},
			list: {vms: this.vmList?.vms.length ?? 0, ageMs: this.vmListAt === 0 ? undefined : now - this.vmListAt},
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
		this.options.groups.tick(now, this.vmList?.vms ?? []);
		if (now >= this.nextHeartbeatAt) {
			this.nextHeartbeatAt = now + heartbeatIntervalMs;
			const heartbeat = this.makeHeartbeat();
			for (const vm of membership.pickHeartbeatReceivers(now)) {
				peers.send(vm, heartbeat);
			}
		}

		if (now >= this.nextVmListAt) {
			this.nextVmListAt = now + (this.options.platform.vmListIntervalMs * (0.5 + this.options.random()));
			runGuarded(this.options.log, 'reading of the VM list', async () => this.refreshVmList());
		}
	}

	private async refreshVmList(): Promise<void> {
		const {platform, membership, targets, clock, metrics} = this.options;
		metrics.platformCalls.inc({operation: 'vm-list'});
		const problems: string[] = [];
		const answer = await fetchVmList({
			url: platform.vmList,
			timeoutMs: platform.timeoutMs,
			previous: this.vmList,
			report(problem) {
				problems.push(problem);
			},
		});
		if (answer.isErr()) {
			this.options.log(answer.error.message);
			return;
		}

		// The platform reports no change with the former list, whose problems are known.
		if (answer.value !== this.vmList) {
			this.vmProblems.update(problems);
		}

		const now = clock();
		this.vmList = answer.value;
		this.vmListAt = now;
		membership.noteList(answer.value.vms, now);
		targets.updateVms(answer.value.vms, now);
	}

	private handleHeartbeat(heartbeat: MessageOf<'heartbeat'>, send: Send, now: number): void {
		const {membership, table} = this.options;
		this.hasPeerAnswered = true;
		membership.receiveHeartbeat(heartbeat, now);
		const request = table.noteVersion(heartbeat.tableVersion, heartbeat.changeId, now);
		if (request) {
			send(request);
		} else if (heartbeat.tableVersion < table.version) {
			send(this.makeHeartbeat());
		}
	}

	/* A bucket's name is KIND/SERVICE/ORGANISATION; its limit is that of the row in the table in force. */
	private handleBorrow(request: MessageOf<'borrow'>, send: Send, borrower: string, now: number): void {
		const [kindText, service, organisation] = request.bucket.split('/');
		const kind = LimitKind.safeParse(kindText);
		const value = kind.success ? this.options.table.current?.findRow(service, organisation, '*')?.[kind.data] : undefined;
		if (kind.success && value !== undefined) {
			send(this.options.limits.lend(request, borrower, {kind: kind.data, value}, now));
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
