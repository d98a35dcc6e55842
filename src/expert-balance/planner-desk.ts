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
/** Stands for the member in this process among the links. */
const own = 'own';

/** The work of the planner in office: hears ranks over their links, and lets a controller plan for each group. */
export class PlannerDesk {
	private term: number | undefined;
	private service: Service | undefined;
	private readonly controllers = new Map<string, GroupController>();
	private readonly connections = new Map<string, LinkConnection>();
	/** Link of each rank, by group and rank. */
	private readonly links = new Map<string, string>();
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
	 * @param term - this process's term; undefined while it is not in office
	 */
	tick(term: number | undefined, now: number): void {
		if (term !== this.term) {
			this.term = term;
			this.controllers.clear();
		}

		if (term === undefined) {
			return;
		}

		if (now >= this.signAt) {
			this.signAt = now + signMs;
			this.sign(term);
		}

		this.control();
	}

	close(): void {
		clearTimeout(this.timer);
	}

	private receive(message: LinkMessage, name: string): void {
		if (this.term === undefined) {
			return;
		}

		if (message.type === 'rank-status') {
			const {group, rank} = message.report;
			this.links.set(`${group}/${rank}`, name);
			this.getController(group, this.term).hear(message, this.options.clock());
		} else if (message.type === 'rank-outcome') {
			this.options.onOutcome(message.outcome);
			for (const controller of this.controllers.values()) {
				controller.hearOutcome(message);
			}
		}

		this.timer ??= setTimeout(() => {
			this.timer = undefined;
			this.control();
		}, gatherMs);
	}

	private control(): void {
		for (const controller of this.controllers.values()) {
			void controller.tick(this.options.clock());
		}
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

	private getController(group: string, term: number): GroupController {
		const known = this.controllers.get(group);
		if (known) {
			return known;
		}

		const controller = new GroupController({
			...this.options,
			group,
			term,
			getShape: () => this.service?.experts,
			send: (rank, message) => this.sendTo(group, rank, message),
		});
		this.controllers.set(group, controller);
		return controller;
	}

	private sendTo(group: string, rank: number, message: LinkMessage): boolean {
		const name = this.links.get(`${group}/${rank}`);
		if (name === own) {
			this.options.deliverOwn(message);
			return true;
		}

		return (name !== undefined && this.connections.get(name)?.send(message)) ?? false;
	}
}
