import {setTimeout as delay} from 'node:timers/promises';
import {type RankSettings} from '../config/rank-settings.js';
import {type Service} from '../fleet/service.js';
import {type ChangeFeed} from '../key-value/change-feed.js';
import {type Registry} from '../key-value/registry.js';
import {connectLink} from '../link/connect-link.js';
import {type LinkConnection} from '../link/link-connection.js';
import {listenLink} from '../link/listen-link.js';
import {getLogger} from '../log/get-logger.js';
import {RankMetrics} from '../metrics/rank-metrics.js';
import {startAdminServer} from '../metrics/start-admin-server.js';
import {StoreView} from '../view/store-view.js';
import {OrderProxy} from './order-proxy.js';
import {PlannerDesk} from './planner-desk.js';
import {PlannerElection} from './planner-election.js';
import {PlannerLink} from './planner-link.js';
import {type RankEngine} from './rank-engine.js';
import {RankMember} from './rank-member.js';

type Surroundings = {
	readonly feed: ChangeFeed;
	readonly registry: Registry;
	readonly openEngine: (address: string) => RankEngine;
	/** Addresses of the engines that are registered for a service; none, with a log line, while they cannot be read. */
	readonly listEngines: (service: string) => Promise<readonly string[]>;
	/** Reads what operators have configured for a service; undefined while it is not known. */
	readonly readService: (name: string) => Promise<Service | undefined>;
	readonly clock: () => number;
	readonly random: () => number;
};

type RunningRankProcess = {
	readonly stopped: Promise<void>;
	stop(): Promise<void>;
	kill(): Promise<void>;
};

const logger = getLogger('rank');
const log = (message: string): void => {
	logger.info(message);
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
const linkTimeoutMs = 1000;
/** A group that is held this long at the step it has reached is taken over by another planner, milliseconds. */
const stuckMs = 400;

/** Starts the process beside one rank's engine; one such process of a service at a time plans for its groups. */
export async function startRankProcess(settings: RankSettings, surroundings: Surroundings): Promise<RunningRankProcess> {
	const {feed, registry, openEngine, listEngines, readService, clock, random} = surroundings;
	const {service, address, linkPort} = settings;
	const ownAddress = `${address}:${linkPort}`;
	const key = `${planners}${service}`;
	const metrics = new RankMetrics();
	const engineAddress = `${settings.engine.host}:${settings.engine.port}`;
	let reportTimer: NodeJS.Timeout | undefined;

	const view = new StoreView({
		feed,
		prefix: key,
		waitMs: viewWaitMs,
		longestPauseMs,
		clock,
		random,
		delay,
		log,
		onChange() {
			const known = view.get(key);
			if (known) {
				member.hearTerm(known.revision);
			}
		},
	});
	const election = new PlannerElection({
		registry, key, address: ownAddress, random, log,
	});
	const member = new RankMember({
		engine: openEngine(engineAddress),
		engineAddress,
		clock,
		send(message) {
			if (election.term === undefined) {
				return planner.send(message);
			}

			desk.receiveOwn(message);
			return true;
		},
		log,
	});

	const reportInTime = async (): Promise<void> => {
		await member.tick(clock());
		reportSoon();
	};

	const reportSoon = (): void => {
		clearTimeout(reportTimer);
		reportTimer = setTimeout(() => {
			void reportInTime();
		}, Math.max(leastWaitMs, member.getWait(clock())));
	};

	const planner = new PlannerLink({
		ownAddress,
		connect: async peer => connect(peer),
		onMessage(message) {
			member.receive(message);
			reportSoon();
		},
		random,
		clock,
	});
	const connect = async (peer: string): Promise<LinkConnection> => {
		const [host, port] = peer.split(':');
		return connectLink({
			...settings.link, address: host, port: Number(port), timeoutMs: linkTimeoutMs, meter: metrics.meterLink,
		});
	};

	const proxy = new OrderProxy({
		connect,
		async listEntries() {
			const listed = await feed.list(entries);
			return listed.isOk() ? listed.value.items.map(({value}) => value) : [];
		},
		onOutcome(outcome) {
			metrics.orders.inc({outcome});
		},
		random,
		log,
	});
	const desk = new PlannerDesk({
		giveAside: (engine, order) => proxy.give(engine, order, clock()),
		settings: settings.balance,
		clock,
		ownRank: () => member.report?.rank ?? 0,
		deliverOwn(message) {
			member.receive(message);
			reportSoon();
		},
		openEngine,
		listEngines: async () => listEngines(service),
		readService: async () => readService(service),
		onOutcome(outcome) {
			metrics.orders.inc({outcome});
		},
		log,
	});
	const listener = await listenLink({
		...settings.link,
		address,
		port: linkPort,
		meter: metrics.meterLink,
		onConnection(connection) {
			desk.accept(connection);
		},
		onRejection(reason) {
			log(`peer turned away: ${reason}`);
		},
	});

	const tick = (): void => {
		const now = clock();
		const isStuck = member.heldSince !== undefined && now - member.heldSince > stuckMs;
		planner.follow(view.get(key)?.value, now);
		void election.tick(now, view.isKnown ? view.get(key) : unknownOffice, isStuck);
		desk.tick(election.term, now);
		if (election.term === undefined) {
			proxy.close();
		} else {
			void proxy.tick(now);
		}
	};

	const admin = await startAdminServer({
		address,
		port: settings.metricsPort,
		registry: metrics.registry,
		isReady: () => member.report !== undefined,
		pages: {
			status: () => ({
				id: settings.id, report: member.report, term: member.term, plans: election.term !== undefined,
			}),
		},
	});
	void view.run();
	const timer = setInterval(tick, tickMs);
	void reportInTime();
	log(`started beside ${engineAddress}`);
	let finish: () => void;
	const stopped = new Promise<void>(resolve => {
		finish = resolve;
	});
	const close = async (): Promise<void> => {
		clearInterval(timer);
		clearTimeout(reportTimer);
		view.close();
		planner.close();
		proxy.close();
		desk.close();
		admin.close();
		await listener.close();
		log('stopped');
		finish();
	};

	return {stopped, stop: close, kill: close};
}

/** Stands for an office of which nothing is known yet: it is not sought. */
const unknownOffice = {key: '', value: '', revision: 0};
