import {setTimeout as delay} from 'node:timers/promises';
import {type RankSettings} from '../config/rank-settings.js';
import {type Service} from '../fleet/service.js';
import {type ChangeFeed} from '../key-value/change-feed.js';
import {type Registry} from '../key-value/registry.js';
import {connectLink} from '../link/connect-link.js';
import {listenForLinks} from '../link/listen-for-links.js';
import {getLogger} from '../log/get-logger.js';
import {registerViewGauges} from '../metrics/register-view-gauges.js';
import {RankMetrics} from '../metrics/rank-metrics.js';
import {startAdminServer} from '../metrics/start-admin-server.js';
import {type RankEngine} from './rank-engine.js';
import {RankProcess} from './rank-process.js';

type Dependencies = {
	readonly feed: ChangeFeed;
	readonly registry: Registry;
	readonly openEngine: (address: string) => RankEngine;
	/** Addresses of the engines that are registered for a service; empty, with a log line, if they cannot be read. */
	readonly listEngines: (service: string) => Promise<readonly string[]>;
	/** Reads the operators' configuration of a service; undefined while it is unknown. */
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

const linkTimeoutMs = 1000;

/** Starts the process of one rank, with its sockets. */
export async function startRankProcess(settings: RankSettings, dependencies: Dependencies): Promise<RunningRankProcess> {
	const {address, linkPort} = settings;
	const metrics = new RankMetrics();
	const engineAddress = `${settings.engine.host}:${settings.engine.port}`;
	const rankProcess = new RankProcess({
		...settings,
		...dependencies,
		ownAddress: `${address}:${linkPort}`,
		engineAddress,
		async connect(peer) {
			const [host, port] = peer.split(':');
			return connectLink({
				...settings.link, address: host, port: Number(port), timeoutMs: linkTimeoutMs, meter: metrics.meterLink,
			});
		},
		delay,
		onOutcome(outcome) {
			metrics.orders.inc({outcome});
		},
		log,
	});
	registerViewGauges(metrics.registry, () => rankProcess.view, dependencies.clock);
	const listener = await listenForLinks({
		...settings.link,
		address,
		port: linkPort,
		meter: metrics.meterLink,
		onConnection(connection) {
			rankProcess.accept(connection);
		},
		onRejection(reason) {
			log(`link from peer rejected: ${reason}`);
		},
	});
	const admin = await startAdminServer({
		address,
		port: settings.metricsPort,
		registry: metrics.registry,
		isReady: () => rankProcess.agent.report !== undefined,
		pages: {
			status: () => ({
				id: settings.id, report: rankProcess.agent.report, term: rankProcess.agent.term, plans: rankProcess.isPlanner,
			}),
		},
	});
	rankProcess.start();
	log(`started for engine ${engineAddress}`);
	let finish: () => void;
	const stopped = new Promise<void>(resolve => {
		finish = resolve;
	});
	const close = async (): Promise<void> => {
		rankProcess.close();
		admin.close();
		await listener.close();
		log('stopped');
		finish();
	};

	return {stopped, stop: close, kill: close};
}
