import {type GroupListing} from '../fleet/group-listing.js';
import {type Service} from '../fleet/service.js';
import {type LinkConnection} from '../link/link-connection.js';
import {type LinkMessage} from '../link/link-message.js';
import {runGuarded} from '../log/run-guarded.js';
import {type BalanceSettings} from './balance-settings.js';
import {type EpochClaim} from './epoch-claim.js';
import {GroupController} from './group-controller.js';
import {type RankEngine} from './rank-engine.js';
import {type RankOrder} from './rank-order.js';

type ServerOptions = {
	readonly settings: BalanceSettings;
	readonly clock: () => number;
	/** Rank on whose VM this process runs. */
	readonly ownRank: () => number;
	/** Passes a message to the rank agent in this process. */
	readonly deliverLocal: (message: LinkMessage) => void;
	readonly openEngine: (address: string) => RankEngine;
	/** Sends an order to an engine through an entry, whose VM runs no rank; false if no entry is connected. */
	readonly orderViaEntry: (engineAddress: string, order: RankOrder) => boolean;
	readonly listEngines: () => Promise<readonly string[]>;
	readonly readService: () => Promise<Service | undefined>;
	readonly onOutcome: (outcome: string) => void;
	readonly log: (message: string) => void;
};

/** Reports that arrive within this time are handled in one decision, milliseconds. */
const batchMs = 10;
/** Time between two heartbeats to each rank, milliseconds. */
const heartbeatIntervalMs = 1000;
/** A planner's term for one group, and its claim on the group's epochs. */
type PlannerTerm = {readonly term: number; readonly group: string; readonly claim: EpochClaim};

/** Stands for the rank agent in this process among the links. */
const localLink = 'local';

/** Server side of the links between ranks and their elected planner: passes the ranks' reports to a controller, and its orders back. */
export class PlannerServer {
	private currentTerm: PlannerTerm | undefined;
	private controller: GroupController | undefined;
	private service: Service | undefined;
	private readonly connections = new Map<string, LinkConnection>();
	/** Name of the link of each rank of the group. */
	private readonly links = new Map<number, string>();
	private timer: NodeJS.Timeout | undefined;
	private nextHeartbeatAt = 0;
	private acceptedCount = 0;

	constructor(private readonly options: ServerOptions) {}

	/** Accepts a link from a rank's process. */
	accept(connection: LinkConnection): void {
		this.acceptedCount++;
		const name = String(this.acceptedCount);
		this.connections.set(name, connection);
		connection.onClose(() => this.connections.delete(name));
		connection.onMessage(message => {
			this.receive(message, name);
		});
	}

	/** Handles a message from the rank agent in this process. */
	receiveLocal(message: LinkMessage): void {
		this.receive(message, localLink);
	}

	/**
	 * Starts or ends a term, and sends heartbeats and orders.
	 *
	 * @param currentTerm - this process's term, and the group it is for; undefined while this process is not the planner
	 */
	tick(currentTerm: PlannerTerm | undefined, now: number): void {
		if (currentTerm?.term !== this.currentTerm?.term) {
			this.currentTerm = currentTerm;
			this.links.clear();
			this.controller = currentTerm && this.createController(currentTerm);
		}

		if (currentTerm === undefined) {
			return;
		}

		if (now >= this.nextHeartbeatAt) {
			this.nextHeartbeatAt = now + heartbeatIntervalMs;
			this.sendHeartbeats(currentTerm.term);
		}

		this.control();
	}

	/** Epoch in which this planner is about to hold its group; undefined if it is not, or if this process is not the planner. */
	get claimedEpoch(): number | undefined {
		return this.controller?.claimedEpoch;
	}

	/** Returns the group's engines, or undefined while this process is not the planner or some rank has not reported recently. */
	getListing(now: number): GroupListing | undefined {
		return this.controller?.getListing(now);
	}

	close(): void {
		clearTimeout(this.timer);
	}

	private receive(message: LinkMessage, name: string): void {
		if (!this.currentTerm || !this.controller) {
			return;
		}

		if (message.type === 'rank-status' && message.report.group === this.currentTerm.group) {
			this.links.set(message.report.rank, name);
			this.controller.handleReport(message, this.options.clock());
		} else if (message.type === 'rank-outcome' && message.group === this.currentTerm.group) {
			this.options.onOutcome(message.outcome);
			this.controller.handleOutcome(message);
		}

		this.timer ??= setTimeout(() => {
			this.timer = undefined;
			this.control();
		}, batchMs);
	}

	private control(): void {
		const {log, clock} = this.options;
		runGuarded(log, 'decision of the planner', async () => this.controller?.tick(clock()));
	}

	private sendHeartbeats(term: number): void {
		this.options.deliverLocal({type: 'rank-term', term, sentAt: this.options.clock()});
		for (const connection of this.connections.values()) {
			connection.send({type: 'rank-term', term, sentAt: this.options.clock()});
		}

		if (!this.service?.experts) {
			runGuarded(this.options.log, 'reading of the service', async () => this.refreshService());
		}
	}

	private async refreshService(): Promise<void> {
		this.service = await this.options.readService() ?? this.service;
	}

	private createController({term, group, claim}: PlannerTerm): GroupController {
		return new GroupController({
			...this.options,
			group,
			term,
			claim,
			getShape: () => this.service?.experts,
			send: (rank, message) => this.sendTo(rank, message),
		});
	}

	private sendTo(rank: number, message: LinkMessage): boolean {
		const name = this.links.get(rank);
		if (name === localLink) {
			this.options.deliverLocal(message);
			return true;
		}

		return (name !== undefined && this.connections.get(name)?.send(message)) ?? false;
	}
}
