import {type Service} from '../fleet/service.js';
import {type ChangeFeed} from '../key-value/change-feed.js';
import {type Registry} from '../key-value/registry.js';
import {type LinkConnection} from '../link/link-connection.js';
import {StoreView} from '../view/store-view.js';
import {type BalanceSettings} from './balance-settings.js';
import {OrderProxy} from './order-proxy.js';
import {PlannerDesk} from './planner-desk.js';
import {PlannerElection} from './planner-election.js';
import {PlannerLink} from './planner-link.js';
import {type RankEngine} from './rank-engine.js';
import {RankMember} from './rank-member.js';

type ProcessOptions = {
	readonly service: string;
	/** Where this process takes links. */
	readonly ownAddress: string;
	/** Where the engine of the own rank takes orders. */
	readonly engineAddress: string;
	readonly balance: BalanceSettings;
	readonly feed: ChangeFeed;
	readonly registry: Registry;
	readonly openEngine: (address: string) => RankEngine;
	/** Addresses of the engines that are registered for a service; none, with a log line, while they cannot be read. */
	readonly listEngines: (service: string) => Promise<readonly string[]>;
	/** Reads what operators have configured for a service; undefined while it is not known. */
	readonly readService: (name: string) => Promise<Service | undefined>;
	/** Opens a link to another process. */
	readonly connect: (address: string) => Promise<LinkConnection>;
	readonly clock: () => number;
	readonly random: () => number;
	readonly delay: (ms: number) => Promise<void>;
	/** Told what became of each order that this process planned. */
	readonly onOutcome: (outcome: string) => void;
	readonly log: (message: string) => void;
};

const planners = 'wardswitch/planners/';
const entries = 'wardswitch/entries/';
/** Time between two looks at the office and the links, milliseconds. */
const tickMs = 100;
/** Least time between two reports of the own rank, milliseconds. */
const leastWaitMs = 10;
/** Longest wait of one call for changes of the office, milliseconds: a lost planner shows on its link much sooner. */
const viewWaitMs = 12_000;
/** Longest pause before a failed call is tried again, milliseconds: nothing is decided on the office while it is away. */
const longestPauseMs = 2000;
/** A group that is held this long at the step it has reached is taken over by another planner, milliseconds. */
const stuckMs = 400;
/** Stands for an office of which nothing is known yet: it is not sought. */
const unknownOffice = {key: '', value: '', revision: 0};

/** The tasks of the process beside one rank's engine, whatever their links run over. */
export class RankProcess {
	readonly member: RankMember;
	private readonly key: string;
	private readonly view: StoreView;
	private readonly election: PlannerElection;
	private readonly planner: PlannerLink;
	private readonly proxy: OrderProxy;
	private readonly desk: PlannerDesk;
	private reportTimer: NodeJS.Timeout | undefined;
	private timer: NodeJS.Timeout | undefined;

	constructor(private readonly options: ProcessOptions) {
		this.key = `${planners}${options.service}`;
		this.view = this.createView();
		this.election = new PlannerElection({...options, key: this.key, address: options.ownAddress});
		this.member = this.createMember();
		this.planner = this.createPlannerLink();
		this.proxy = new OrderProxy({...options, listEntries: async () => this.listEntries()});
		this.desk = this.createDesk();
	}

	/** Whether this process is in office. */
	get isInOffice(): boolean {
		return this.election.term !== undefined;
	}

	/** Takes a link that another process has opened. */
	accept(connection: LinkConnection): void {
		this.desk.accept(connection);
	}

	/** Begins to report, to follow the office and to seek it when it is empty. */
	start(): void {
		void this.view.run();
		this.timer = setInterval(() => {
			this.tick();
		}, tickMs);
		void this.reportInTime();
	}

	close(): void {
		clearInterval(this.timer);
		clearTimeout(this.reportTimer);
		this.view.close();
		this.planner.close();
		this.proxy.close();
		this.desk.close();
	}

	private createView(): StoreView {
		return new StoreView({
			...this.options,
			prefix: this.key,
			waitMs: viewWaitMs,
			longestPauseMs,
			onChange: () => {
				const known = this.view.get(this.key);
				if (known) {
					this.member.hearTerm(known.revision);
				}
			},
		});
	}

	private createMember(): RankMember {
		const {engineAddress, openEngine} = this.options;
		return new RankMember({
			...this.options,
			engine: openEngine(engineAddress),
			send: message => {
				if (!this.isInOffice) {
					return this.planner.send(message);
				}

				this.desk.receiveOwn(message);
				return true;
			},
		});
	}

	private createPlannerLink(): PlannerLink {
		return new PlannerLink({
			...this.options,
			onMessage: message => {
				this.member.receive(message);
				this.reportSoon();
			},
		});
	}

	private createDesk(): PlannerDesk {
		const {service, balance, clock, listEngines, readService} = this.options;
		return new PlannerDesk({
			...this.options,
			settings: balance,
			giveAside: (engine, order) => this.proxy.give(engine, order, clock()),
			ownRank: () => this.member.report?.rank ?? 0,
			deliverOwn: message => {
				this.member.receive(message);
				this.reportSoon();
			},
			listEngines: async () => listEngines(service),
			readService: async () => readService(service),
		});
	}

	private async listEntries(): Promise<readonly string[]> {
		const listed = await this.options.feed.list(entries);
		return listed.isOk() ? listed.value.items.map(({value}) => value) : [];
	}

	private async reportInTime(): Promise<void> {
		await this.member.tick(this.options.clock());
		this.reportSoon();
	}

	private reportSoon(): void {
		clearTimeout(this.reportTimer);
		this.reportTimer = setTimeout(() => {
			void this.reportInTime();
		}, Math.max(leastWaitMs, this.member.getWait(this.options.clock())));
	}

	private tick(): void {
		const now = this.options.clock();
		const {heldSince} = this.member;
		const isStuck = heldSince !== undefined && now - heldSince > stuckMs;
		this.planner.follow(this.view.get(this.key)?.value, now);
		void this.election.tick(now, this.view.isKnown ? this.view.get(this.key) : unknownOffice, isStuck);
		this.desk.tick(this.election.term, now);
		if (this.isInOffice) {
			void this.proxy.tick(now);
		} else {
			this.proxy.close();
		}
	}
}
