import {type GroupListing} from '../fleet/group-listing.js';
import {type Service} from '../fleet/service.js';
import {type LinkConnection} from '../link/link-connection.js';
import {type LinkMessage} from '../link/link-message.js';
import {type BalanceSettings} from './balance-settings.js';
import {GroupController} from './group-controller.js';
import {type RankEngine} from './rank-engine.js';
import {type RankOrder} from './rank-order.js';

type ServerOptions = {
	readonly settings: BalanceSettings;
	readonly clock: () => number;
	/** Rank beside which this process runs. */
	readonly ownRank: () => number;
	/** Hands a message to the member in this process. */
	readonly deliverLocal: (message: LinkMessage) => void;
	readonly openEngine: (address: string) => RankEngine;
	/** Has an order given to an engine by a VM that runs no rank; false when none is in reach. */
	readonly orderViaEntry: (engineAddress: string, order: RankOrder) => boolean;
	readonly listEngines: () => Promise<readonly string[]>;
	readonly readService: () => Promise<Service | undefined>;
	readonly onOutcome: (outcome: string) => void;
	readonly log: (message: string) => void;
};

/** Reports that arrive within this time are decided on together, milliseconds. */
const batchMs = 10;
/** Time between two signs of life to each rank, milliseconds. */
const heartbeatIntervalMs = 1000;
/** A planner's term of office for one group. */
type PlannerTerm = {readonly term: number; readonly group: string};

/** Stands for the member in this process among the links. */
const localLink = 'own';

/** The work of a group's planner in office: hears the ranks over their links, and lets a controller plan for them. */
export class PlannerServer {
	private planned: PlannerTerm | undefined;
	private controller: GroupController | undefined;
	private service: Service | undefined;
	private readonly connections = new Map<string, LinkConnection>();
	/** Link of each rank of the group. */
	private readonly links = new Map<number, string>();
	private timer: NodeJS.Timeout | undefined;
	private nextHeartbeatAt = 0;
	private acceptedCount = 0;

	constructor(private readonly options: ServerOptions) {}

	/** Takes a link of a rank's process. */
	accept(connection: LinkConnection): void {
		this.acceptedCount++;
		const name = String(this.acceptedCount);
		this.connections.set(name, connection);
		connection.onClose(() => this.connections.delete(name));
		connection.onMessage(message => {
			this.receive(message, name);
		});
	}

	/** Takes a message of the member in this process. */
	receiveLocal(message: LinkMessage): void {
		this.receive(message, localLink);
	}

	/**
	 * Works for a term of office, gives signs of life and orders.
	 *
	 * @param planned - this process's term, and the group it is for; undefined while it is not in office
	 */
	tick(planned: PlannerTerm | undefined, now: number): void {
		if (planned?.term !== this.planned?.term) {
			this.planned = planned;
			this.links.clear();
			this.controller = planned && this.createController(planned);
		}

		if (planned === undefined) {
			return;
		}

		if (now >= this.nextHeartbeatAt) {
			this.nextHeartbeatAt = now + heartbeatIntervalMs;
			this.sendHeartbeats(planned.term);
		}

		this.control();
	}

	/** The group's engines while this process is in office and hears all of its ranks; undefined otherwise. */
	getListing(now: number): GroupListing | undefined {
		return this.controller?.getListing(now);
	}

	close(): void {
		clearTimeout(this.timer);
	}

	private receive(message: LinkMessage, name: string): void {
		if (!this.planned || !this.controller) {
			return;
		}

		if (message.type === 'rank-status' && message.report.group === this.planned.group) {
			this.links.set(message.report.rank, name);
			this.controller.handleReport(message, this.options.clock());
		} else if (message.type === 'rank-outcome' && message.group === this.planned.group) {
			this.options.onOutcome(message.outcome);
			this.controller.handleOutcome(message);
		}

		this.timer ??= setTimeout(() => {
			this.timer = undefined;
			this.control();
		}, batchMs);
	}

	private control(): void {
		void this.controller?.tick(this.options.clock());
	}

	private sendHeartbeats(term: number): void {
		this.options.deliverLocal({type: 'rank-term', term, sentAt: this.options.clock()});
		for (const connection of this.connections.values()) {
			connection.send({type: 'rank-term', term, sentAt: this.options.clock()});
		}

		if (!this.service?.experts) {
			void this.refreshService();
		}
	}

	private async refreshService(): Promise<void> {
		this.service = await this.options.readService() ?? this.service;
	}

	private createController({term, group}: PlannerTerm): GroupController {
		return new GroupController({
			...this.options,
			group,
			term,
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
