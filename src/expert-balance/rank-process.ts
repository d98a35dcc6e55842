import {type Service} from '../fleet/service.js';
import {type ChangeFeed} from '../key-value/change-feed.js';
import {type Registry} from '../key-value/registry.js';
import {type LinkConnection} from '../link/link-connection.js';
import {LinkAddress} from '../link/link-address.js';
import {describeItemProblem} from '../key-value/describe-item-problem.js';
import {ProblemLog} from '../log/problem-log.js';
import {entryRegistrations} from '../mesh/entry-registrations.js';
import {StoreView} from '../view/store-view.js';
import {unorderedItems} from '../view/unordered-items.js';
import {runGuarded} from '../log/run-guarded.js';
import {type BalanceSettings} from './balance-settings.js';
import {EpochClaim} from './epoch-claim.js';
import {getClaimKey} from './get-claim-key.js';
import {getPlannerKey} from './get-planner-key.js';
import {GroupPublication} from './group-publication.js';
import {OrderProxy} from './order-proxy.js';
import {PlannerServer} from './planner-server.js';
import {PlannerElection} from './planner-election.js';
import {PlannerLink} from './planner-link.js';
import {type RankEngine} from './rank-engine.js';
import {RankAgent} from './rank-agent.js';
import {toTerm} from './to-term.js';

type ProcessOptions = {
	readonly service: string;
	/** Address on which this process accepts links. */
	readonly ownAddress: string;
	/** Address on which this rank's engine accepts orders. */
	readonly engineAddress: string;
	readonly balance: BalanceSettings;
	readonly feed: ChangeFeed;
	readonly registry: Registry;
	readonly openEngine: (address: string) => RankEngine;
	/** Addresses of the engines that are registered for a service; empty, with a log line, if they cannot be read. */
	readonly listEngines: (service: string) => Promise<readonly string[]>;
	/** Reads the operators' configuration of a service; undefined while it is unknown. */
	readonly readService: (name: string) => Promise<Service | undefined>;
	/** Opens a link to another process. */
	readonly connect: (address: string) => Promise<LinkConnection>;
	readonly clock: () => number;
	readonly random: () => number;
	readonly delay: (ms: number) => Promise<void>;
	/** Called with the outcome of each order that this process sent as planner. */
	readonly onOutcome: (outcome: string) => void;
	readonly log: (message: string) => void;
};

/** Time between two checks of the election and the links, milliseconds. */
const tickMs = 100;
/** Minimum time between two reports of this rank, milliseconds. */
const minimumDelayMs = 10;
/** Maximum wait of one long poll for changes of the planner key, milliseconds; the loss of a planner shows on its link much sooner. */
const viewWaitMs = 9600;
/** Maximum backoff after a failed call to the store, milliseconds: the election is not acted on while the store is unavailable. */
const longestPauseMs = 2000;
/** After the group has been held for this time at the step of the hold, another planner may take over, milliseconds. */
const stuckHoldMs = 400;

/** The planner election of this rank's group, and this process's part in it. */
type GroupElection = {readonly group: string; readonly key: string; readonly view: StoreView; readonly election: PlannerElection; readonly publication: GroupPublication};

/** Process of one rank: its agent, its part in the planner election and, when elected, the planner. Independent of the transport of its links. */
export class RankProcess {
	readonly agent: RankAgent;
	/** Undefined until the engine has reported its group. */
	private groupElection: GroupElection | undefined;
	/** This process's term as planner, if any. */
	private plannerTerm: {readonly term: number; readonly group: string; readonly claim: EpochClaim} | undefined;
	private readonly plannerLink: PlannerLink;
	private readonly orderProxy: OrderProxy;
	private readonly plannerServer: PlannerServer;
	private reportTimer: NodeJS.Timeout | undefined;
	private timer: NodeJS.Timeout | undefined;
	private readonly plannerProblems: ProblemLog;
	private readonly entryProblems: ProblemLog;

	constructor(private readonly options: ProcessOptions) {
		this.plannerProblems = new ProblemLog(problem => {
			options.log(`planner key not accepted: ${problem}`);
		});
		this.entryProblems = new ProblemLog(problem => {
			options.log(`registration of an entry not accepted: ${problem}`);
		});
		this.agent = this.createAgent();
		this.plannerLink = this.createPlannerLink();
		this.orderProxy = new OrderProxy({...options, listEntries: async () => this.listEntries()});
		this.plannerServer = this.createPlannerServer();
	}

	/** Whether this process is the elected planner. */
	get isPlanner(): boolean {
		return this.groupElection?.election.term !== undefined;
	}

	/** This process's view of the planner key; undefined until the engine has reported its group. */
	get view(): StoreView | undefined {
		return this.groupElection?.view;
	}

	/** Accepts a link that another process has opened. */
	accept(connection: LinkConnection): void {
		this.plannerServer.accept(connection);
	}

	/** Starts to report, to follow the current planner and to campaign when there is none. */
	start(): void {
		this.timer = setInterval(() => {
			runGuarded(this.options.log, 'periodic check', () => {
				this.tick();
			});
		}, tickMs);
		runGuarded(this.options.log, 'report', async () => this.report());
	}

	close(): void {
		clearInterval(this.timer);
		clearTimeout(this.reportTimer);
		this.groupElection?.view.close();
		this.plannerLink.close();
		this.orderProxy.close();
		this.plannerServer.close();
	}

	/* If the platform has moved the rank to another group, the election of the former group is left; a lease held there expires. */
	private updateGroup(): void {
		const group = this.agent.report?.group;
		if (group === undefined || group === this.groupElection?.group) {
			return;
		}

		this.groupElection?.view.close();
		const key = getPlannerKey(this.options.service, group);
		const view = this.createView(key);
		this.groupElection = {
			group,
			key,
			view,
			election: new PlannerElection({...this.options, key, address: this.options.ownAddress}),
			publication: new GroupPublication({...this.options, group}),
		};
		runGuarded(this.options.log, `view of ${key}`, async () => view.run());
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
				if (known && this.groupElection?.view === view) {
					this.agent.recordTerm(toTerm({era: known.era, number: known.revision}));
				}
			},
		});
		return view;
	}

	private createAgent(): RankAgent {
		const {engineAddress, openEngine} = this.options;
		return new RankAgent({
			...this.options,
			engine: openEngine(engineAddress),
			send: message => {
				if (!this.isPlanner) {
					return this.plannerLink.send(message);
				}

				this.plannerServer.receiveLocal(message);
				return true;
			},
		});
	}

	private createPlannerLink(): PlannerLink {
		return new PlannerLink({
			...this.options,
			onMessage: message => {
				this.agent.receive(message);
				this.scheduleReport();
			},
		});
	}

	private createPlannerServer(): PlannerServer {
		const {service, balance, clock, listEngines, readService} = this.options;
		return new PlannerServer({
			...this.options,
			settings: balance,
			orderViaEntry: (engine, order) => this.orderProxy.sendOrder(engine, order, clock()),
			ownRank: () => this.agent.report?.rank ?? 0,
			deliverLocal: message => {
				this.agent.receive(message);
				this.scheduleReport();
			},
			listEngines: async () => listEngines(service),
			readService: async () => readService(service),
		});
	}

	private async listEntries(): Promise<readonly string[]> {
		const listed = await this.options.feed.list(entryRegistrations.prefix);
		if (listed.isErr()) {
			return [];
		}

		const problems: string[] = [];
		const entries = entryRegistrations.read(listed.value.items, problem => {
			problems.push(problem);
		});
		this.entryProblems.update(problems);
		return entries.map(({address}) => address);
	}

	/* A key that does not hold an address names no planner: the group elects another. */
	private readPlanner(key: string, view: StoreView): string | undefined {
		const item = view.get(key);
		const address = item && LinkAddress.safeParse(item.value);
		this.plannerProblems.update(address?.success === false ? [describeItemProblem(key, address.error)] : []);
		return address?.data;
	}

	private async report(): Promise<void> {
		try {
			await this.agent.tick(this.options.clock());
		} finally {
			this.scheduleReport();
		}
	}

	private updateTerm(group: string, key: string, {term, revision}: PlannerElection): void {
		if (term === undefined || revision === undefined) {
			this.plannerTerm = undefined;
		} else if (this.plannerTerm?.term !== term) {
			const {service, registry, log} = this.options;
			const claim = new EpochClaim({
				registry, key: getClaimKey(service, group), planner: {key, revision}, log,
			});
			this.plannerTerm = {term, group, claim};
		}
	}

	private claimEpoch(claim: EpochClaim, now: number): void {
		runGuarded(this.options.log, 'claim on an epoch', async () => claim.tick(this.plannerServer.claimedEpoch, now));
	}

	private scheduleReport(): void {
		clearTimeout(this.reportTimer);
		this.reportTimer = setTimeout(() => {
			runGuarded(this.options.log, 'report', async () => this.report());
		}, Math.max(minimumDelayMs, this.agent.getDelayMs(this.options.clock())));
	}

	private tick(): void {
		const now = this.options.clock();
		this.updateGroup();
		if (this.groupElection) {
			this.groupElection.view.checkCall(now);
			this.tickElection(this.groupElection, now);
		}

		if (this.isPlanner) {
			runGuarded(this.options.log, 'choice of an entry for orders', async () => this.orderProxy.tick(now));
		} else {
			this.orderProxy.close();
		}
	}

	private tickElection({group, key, view, election, publication}: GroupElection, now: number): void {
		const {heldSince} = this.agent;
		const isStuck = heldSince !== undefined && now - heldSince > stuckHoldMs;
		const planner = this.readPlanner(key, view);
		this.plannerLink.follow(planner, now);
		view.tick(now);
		const known = {
			era: view.asOf.era, holder: view.get(key), planner, stored: view.getStored(key),
		};
		runGuarded(this.options.log, 'election', async () => election.tick(now, view.isLoaded ? known : undefined, isStuck));
		this.updateTerm(group, key, election);
		this.plannerServer.tick(this.plannerTerm, now);
		if (this.plannerTerm) {
			this.claimEpoch(this.plannerTerm.claim, now);
			publication.tick(this.plannerServer.getListing(now), view.asOf.era, now);
		}
	}
}
