import {setTimeout as delay} from 'node:timers/promises';
import {type ForwardEntrySettings} from '../config/forward-entry-settings.js';
import {connectLink} from '../link/connect-link.js';
import {type LinkConnection} from '../link/link-connection.js';
import {listenLink} from '../link/listen-link.js';
import {type MessageOf} from '../link/message-of.js';
import {getLogger} from '../log/get-logger.js';
import {makeIncarnation} from '../membership/make-incarnation.js';
import {ForwardMetrics} from '../metrics/forward-metrics.js';
import {registerViewGauges} from '../metrics/register-view-gauges.js';
import {startAdminServer} from '../metrics/start-admin-server.js';
import {describeEnd} from './describe-end.js';
import {makeForwardFilter} from './filters/make-forward-filter.js';
import {makeKeyFilter} from './filters/make-key-filter.js';
import {makeReadFilter} from './filters/make-read-filter.js';
import {makeRouteFilter} from './filters/make-route-filter.js';
import {ForwardServer} from './forward-server.js';
import {type ForwardSurroundings} from './forward-surroundings.js';
import {makeEntryState} from './make-entry-state.js';
import {makeForwardPath} from './make-forward-path.js';
import {makeHttpTransport} from './make-http-transport.js';

type RunningForwardEntry = {
	readonly httpPort: number;
	readonly isReady: () => boolean;
	/** Revision of the store that the entry's view includes. */
	readonly getRevision: () => number;
	readonly stopped: Promise<void>;
	stop(): Promise<void>;
	kill(): Promise<void>;
};

const requestLog = getLogger('request');
const viewLog = getLogger('view');
const fleetLog = getLogger('fleet');
const entryLog = getLogger('entry');

/** Time between two looks at peers, stalls and registrations, milliseconds. */
const tickMs = 100;
const linkTimeoutMs = 1000;
/** The process ends so long before it would be ended by force, milliseconds. */
const graceMarginMs = 400;

/** Starts an entry that forwards straight to registered targets: its parts, what they tell each other, its servers. */
export async function startForwardEntry(settings: ForwardEntrySettings, surroundings: ForwardSurroundings): Promise<RunningForwardEntry> {
	const {dialect, openEngine, clock, random} = surroundings;
	const {id, availabilityZone, callers: {host: address, port: httpPort}} = settings;
	const linkAddress = `${address}:${settings.linkPort}`;
	const metrics = new ForwardMetrics();
	const path = makeForwardPath({
		...settings,
		clock,
		random,
		address: linkAddress,
		listPeers: now => mesh.listHeard(now),
		ask: (peer, question) => mesh.send(peer, question),
		openTransport: listener => makeHttpTransport({dialect, clock}, listener),
		countRegistered: () => knowledge.countRegistered(),
		getService: name => fleet.table?.findService(name),
		onLoad() {
			mesh.reportSoon();
		},
		onRefusal(service, isRestAsked) {
			metrics.refusals.inc({service, rest: String(isRestAsked)});
		},
		onLeave(target, source) {
			if (fleet.noteLeave(target, source, clock())) {
				mesh.reportSoon();
			}
		},
		onFound() {
			mesh.reportNow();
		},
		onSend(service, isRepeat) {
			metrics.sends.inc({service, repeat: String(isRepeat)});
		},
		log(message) {
			requestLog.info(message);
		},
	});
	const {board, book, dispatcher} = path;
	let isStopping = false;

	const knowledge = makeEntryState({
		...surroundings,
		id,
		incarnation: makeIncarnation(Date.now()),
		address: linkAddress,
		availabilityZone,
		directory: book.directory,
		board,
		delay,
		async connect(peer) {
			const [host, port] = peer.split(':');
			return connectLink({
				...settings.link, address: host, port: Number(port), timeoutMs: linkTimeoutMs, meter: metrics.meterLink,
			});
		},
		getDigest: (isWhole, now) => path.getDigest(isWhole, now),
		onDigest(peer, digest, isNear, now) {
			path.mergeDigest(peer, digest, isNear, now);
		},
		onMessage(message, send) {
			if (message.type === 'permit-wanted') {
				send(book.permits.answer(message));
			} else if (message.type === 'permit') {
				book.permits.receive(message);
			}
		},
		onTable({configuration: {version, limits}}) {
			metrics.configurationVersion.set(version);
			server.limit(limits.headerTimeoutMs, limits.idleTimeoutMs);
		},
		onLeave(target) {
			path.forget(target);
		},
		onRenew(target) {
			path.renew(target);
		},
		onFormed(unit) {
			path.reopen(unit);
		},
		log: {
			view(message) {
				viewLog.info(message);
			},
			fleet(message) {
				fleetLog.info(message);
			},
			entry(message) {
				entryLog.info(message);
			},
		},
	});
	const {view, fleet, mesh} = knowledge;
	registerViewGauges(metrics.registry, () => view, clock);
	const getTable = () => knowledge.getTable(clock());
	const server = new ForwardServer({
		address,
		port: httpPort,
		clock,
		dialect,
		filters: [
			makeRouteFilter({getTable, defaultDeadlineMs: settings.requests.defaultDeadlineMs}),
			makeKeyFilter(getTable),
			makeReadFilter(getTable),
			makeForwardFilter(dispatcher),
		],
		onEnd(exchange, problem) {
			const now = clock();
			metrics.recordEnd(exchange, problem, now);
			requestLog.info(describeEnd(exchange, problem, {era: view.asOf.era, viewAgeMs: view.getAge(now), now}));
		},
		log(message) {
			requestLog.error(message);
		},
	});

	const giveOrder = async ({number, engineAddress, order}: MessageOf<'engine-order'>, connection: LinkConnection): Promise<void> => {
		const outcome = openEngine ? await openEngine(engineAddress).order(order) : 'refused';
		entryLog.info(`order ${order.type} given to ${engineAddress} for a planner: ${outcome}`);
		connection.send({type: 'engine-outcome', number, outcome});
	};

	const listener = await listenLink({
		...settings.link,
		address,
		port: settings.linkPort,
		meter: metrics.meterLink,
		onConnection(connection) {
			connection.onMessage(message => {
				if (message.type === 'engine-order') {
					void giveOrder(message, connection);
				} else {
					mesh.receive(message, reply => connection.send(reply));
				}
			});
		},
		onRejection(reason) {
			entryLog.warn(`peer turned away: ${reason}`);
		},
	});
	await server.listen();
	const isReady = () => !isStopping && getTable() !== undefined;
	const getStatus = () => ({
		id,
		availabilityZone,
		isReady: isReady(),
		configuration: fleet.table?.version,
		era: view.asOf.era,
		revision: view.asOf.number,
		ageMs: view.getAge(clock()),
		openRequests: server.openRequests,
		inFlight: board.getOwn(),
	});
	const shared = {
		address, registry: metrics.registry, isReady, pages: {status: getStatus},
	};
	const ready = await startAdminServer({
		...shared, address: settings.ready.address.host, port: settings.ready.address.port, readyPath: settings.ready.path,
	});
	const admin = await startAdminServer({...shared, port: settings.metricsPort});
	knowledge.start(settings.seeds);
	const timer = setInterval(() => {
		const now = clock();
		knowledge.tick(now);
		path.tick();
		metrics.cooldownTargets.set(book.rests.size);
		metrics.rateLimitedTargets.set(book.limits.size);
	}, tickMs);
	entryLog.info(`started in ${availabilityZone}, callers at ${address}:${server.port}`);

	let finish: () => void;
	const stopped = new Promise<void>(resolve => {
		finish = resolve;
	});
	const close = async (): Promise<void> => {
		clearInterval(timer);
		knowledge.close();
		path.close();
		ready.close();
		admin.close();
		await listener.close();
		finish();
	};

	return {
		httpPort: server.port,
		isReady,
		getRevision: () => view.asOf.number,
		stopped,
		async stop() {
			isStopping = true;
			server.announceStop();
			entryLog.info(`stopping with ${server.openRequests} requests open`);
			await delay(settings.stop.noticeMs);
			const leftMs = settings.stop.graceMs - settings.stop.noticeMs - graceMarginMs;
			await Promise.race([server.drain(), delay(leftMs, undefined, {ref: false})]);
			entryLog.info(`stopped with ${server.openRequests} requests open`);
			server.close();
			await close();
		},
		async kill() {
			server.close();
			await close();
		},
	};
}
