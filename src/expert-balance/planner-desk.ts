import {type GroupListing} from '../fleet/group-listing.js';
import {type Service} from '../fleet/service.js';
import {type LinkConnection} from '../link/link-connection.js';
import {type LinkMessage} from '../link/link-message.js';
import {type BalanceSettings} from './balance-settings.js';
import {GroupController} from './group-controller.js';
import {type RankEngine} from './rank-engine.js';
import {type RankOrder} from './rank-order.js';

type DeskOptions = {
	readonly settings: BalanceSettings;
	readonly clock: () => number;
	/** Rank beside which this process runs. */
	readonly ownRank: () => number;
	/** Hands a message to the member in this process. */
	readonly deliverOwn: (message: LinkMessage) => void;
	readonly openEngine: (address: string) => RankEngine;
	/** Has an order given to an engine by a VM that runs no rank; false when none is in reach. */
	readonly giveAside: (engineAddress: string, order: RankOrder) => boolean;
	readonly listEngines: () => Promise<readonly string[]>;
	readonly readService: () => Promise<Service | undefined>;
	readonly onOutcome: (outcome: string) => void;
	readonly log: (message: string) => void;
};

/** Reports that arrive within this time are decided on together, milliseconds. */
const gatherMs = 10;
/** Time between two signs of life to each rank, milliseconds. */
const signMs = 1000;
/** A planner's term of office for one group. */
type Term = {readonly term: number; readonly group: string};

/** Stands for the member in this process among the links. */
const own = 'own';

/** The work of a group's planner in office: hears the ranks over their links, and lets a controller plan for them. */
export class PlannerDesk {
	private office: Term | undefined;
	private controller: GroupController | undefined;
	private service: Service | undefined;
	private readonly connections = new Map<string, LinkConnection>();
	/** Link of each rank of the group. */
	private readonly links = new Map<number, string>();
	private timer: NodeJS.Timeout | undefined;
	private signAt = 0;
	private accepted = 0;

	constructor(private readonly options: DeskOptions) {}

	/** Takes a link of a rank's process. */
	accept(connection: LinkConnection): void {
		this.accepted++;
		const name = String(this.accepted);
		this.connections.set(name, connection);
		connection.onClose(() => this.connections.delete(name));
		connection.onMessage(message => {
			this.receive(message, name);
		});
	}

	/** Takes a message of the member in this process. */
	receiveOwn(message: LinkMessage): void {
		this.receive(message, own);
	}

	/**
	 * Works for a term of office, gives signs of life and orders.
	 *
	 * @param office - this process's term, and the group it is for; undefined while it is not in office
	 */
	tick(office: Term | undefined, now: number): void {
		if (office?.term !== this.office?.term) {
			this.office = office;
			this.links.clear();
			this.controller = office && this.createController(office);
		}

		if (office === undefined) {
			return;
		}

		if (now >= this.signAt) {
			this.signAt = now + signMs;
			this.sign(office.term);
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
		if (!this.office || !this.controller) {
			return;
		}

		if (message.type === 'rank-status' && message.report.group === this.office.group) {
			this.links.set(message.report.rank, name);
			this.controller.hear(message, this.options.clock());
		} else if (message.type === 'rank-outcome' && message.group === this.office.group) {
			this.options.onOutcome(message.outcome);
			this.controller.hearOutcome(message);
		}

		this.timer ??= setTimeout(() => {
			this.timer = undefined;
			this.control();
		}, gatherMs);
	}

	private control(): void {
		void this.controller?.tick(this.options.clock());
	}

	private sign(term: number): void {
		this.options.deliverOwn({type: 'rank-term', term, sentAt: this.options.clock()});
		for (const connection of this.connections.values()) {
			connection.send({type: 'rank-term', term, sentAt: this.options.clock()});
		}

		if (!this.service?.experts) {
			void this.learnService();
		}
	}

	private async learnService(): Promise<void> {
		this.service = await this.options.readService() ?? this.service;
	}

	private createController({term, group}: Term): GroupController {
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
		if (name === own) {
			this.options.deliverOwn(message);
			return true;
		}

		return (name !== undefined && this.connections.get(name)?.send(message)) ?? false;
	}
}
