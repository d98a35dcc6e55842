import {type Service} from '../fleet/service.js';
import {type ChangeFeed} from '../key-value/change-feed.js';
import {type Registry} from '../key-value/registry.js';
import {type LinkConnection} from '../link/link-connection.js';
import {StoreView} from '../view/store-view.js';
import {unorderedItems} from '../view/unordered-items.js';
import {type BalanceSettings} from './balance-settings.js';
import {getOfficeKey} from './get-office-key.js';
import {GroupPublication} from './group-publication.js';
import {OrderProxy} from './order-proxy.js';
import {PlannerDesk} from './planner-desk.js';
import {PlannerElection} from './planner-election.js';
import {PlannerLink} from './planner-link.js';
import {type RankEngine} from './rank-engine.js';
import {RankMember} from './rank-member.js';
import {toTerm} from './to-term.js';

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

/** What this process knows of the office of its rank's group, and its own part in it. */
type Office = {readonly group: string; readonly key: string; readonly view: StoreView; readonly election: PlannerElection; readonly publication: GroupPublication};

/** The tasks of the process beside one rank's engine, whatever their links run over. */
export class RankProcess {
	readonly member: RankMember;
	/** Undefined until the engine has told its group. */
	private office: Office | undefined;
	private readonly planner: PlannerLink;
	private readonly proxy: OrderProxy;
	private readonly desk: PlannerDesk;
	private reportTimer: NodeJS.Timeout | undefined;
	private timer: NodeJS.Timeout | undefined;

	constructor(private readonly options: ProcessOptions) {
		this.member = this.createMember();
		this.planner = this.createPlannerLink();
		this.proxy = new OrderProxy({...options, listEntries: async () => this.listEntries()});
		this.desk = this.createDesk();
	}

	/** Whether this process is in office. */
	get isInOffice(): boolean {
		return this.office?.election.term !== undefined;
	}

	/** This process's view of the office; undefined until the engine has told its group. */
	get view(): StoreView | undefined {
		return this.office?.view;
	}

	/** Takes a link that another process has opened. */
	accept(connection: LinkConnection): void {
		this.desk.accept(connection);
	}

	/** Begins to report, to follow the office and to seek it when it is empty. */
	start(): void {
		this.timer = setInterval(() => {
			this.tick();
		}, tickMs);
		void this.reportInTime();
	}

	close(): void {
		clearInterval(this.timer);
		clearTimeout(this.reportTimer);
		this.office?.view.close();
		this.planner.close();
		this.proxy.close();
		this.desk.close();
	}

	/* A rank that the platform has put into another group leaves the office of the one before: its lease lapses. */
	private followGroup(): void {
		const group = this.member.report?.group;
		if (group === undefined || group === this.office?.group) {
			return;
		}

		this.office?.view.close();
		const key = getOfficeKey(this.options.service, group);
		const view = this.createView(key);
		this.office = {
			group,
			key,
			view,
			election: new PlannerElection({...this.options, key, address: this.options.ownAddress}),
			publication: new GroupPublication({...this.options, group}),
		};
		void view.run();
	}

	private createView(key: string): StoreView {
		const view: StoreView = new StoreView({
			...this.options,
			prefix: key,
			comparator: unorderedItems,
			waitMs: viewWaitMs,
			maximumBackoffMs: longestPauseMs,
			onChange: () => {
				const known = view.get(key);
				if (known && this.office?.view === view) {
					this.member.hearTerm(toTerm({era: known.era, number: known.revision}));
				}
			},
		});
		return view;
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
		this.followGroup();
		if (this.office) {
			this.attendOffice(this.office, now);
		}

		if (this.isInOffice) {
			void this.proxy.tick(now);
		} else {
			this.proxy.close();
		}
	}

	private attendOffice({group, key, view, election, publication}: Office, now: number): void {
		const {heldSince} = this.member;
		const isStuck = heldSince !== undefined && now - heldSince > stuckMs;
		this.planner.follow(view.get(key)?.value, now);
		view.tick(now);
		void election.tick(now, view.isLoaded ? {era: view.asOf.era, holder: view.get(key), stored: view.getStored(key)} : undefined, isStuck);
		this.desk.tick(election.term === undefined ? undefined : {term: election.term, group}, now);
		if (election.term !== undefined) {
			publication.tick(this.desk.getListing(now), view.asOf.era, now);
		}
	}
}
