import {setTimeout as delay} from 'node:timers/promises';
import {type ForwardEntrySettings} from '../config/forward-entry-settings.js';
import {connectLink} from '../link/connect-link.js';
import {linkProtocol} from '../link/link-protocol.js';
import {type LinkConnection} from '../link/link-connection.js';
import {listenLink} from '../link/listen-link.js';
import {type MessageOf} from '../link/message-of.js';
import {getLogger} from '../log/get-logger.js';
import {makeIncarnation} from '../membership/make-incarnation.js';
import {EntryMesh} from '../mesh/entry-mesh.js';
import {Registration} from '../mesh/registration.js';
import {ForwardMetrics} from '../metrics/forward-metrics.js';
import {startAdminServer} from '../metrics/start-admin-server.js';
import {StoreView} from '../view/store-view.js';
import {describeEnd} from './describe-end.js';
import {makeForwardFilter} from './filters/make-forward-filter.js';
import {makeKeyFilter} from './filters/make-key-filter.js';
import {makeReadFilter} from './filters/make-read-filter.js';
import {makeRouteFilter} from './filters/make-route-filter.js';
import {FleetState} from './fleet-state.js';
import {ForwardServer} from './forward-server.js';
import {type ForwardSurroundings} from './forward-surroundings.js';
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

/** Keys under which this system's own processes register. */
const entriesPrefix = 'wardswitch/entries/';
/** Time between two looks at peers, stalls and registrations, milliseconds. */
const tickMs = 100;
const linkTimeoutMs = 1000;
/** A process that was cut off must be up to date 3 s after its way to the store is back (the platform's bound). */
const viewWaitMs = 2000;
/** Even half as long again, and then the call, is within that bound; each refused call has its price. */
const longestPauseMs = 1000;
/** The process ends so long before it would be ended by force, milliseconds. */
const graceMarginMs = 400;

/** Starts an entry that forwards straight to registered targets: its parts, what they tell each other, its servers. */
export async function startForwardEntry(settings: ForwardEntrySettings, surroundings: ForwardSurroundings): Promise<RunningForwardEntry> {
	const {feed, registry, source, dialect, openEngine, clock, random} = surroundings;
	const {id, availabilityZone, callers: {host: address, port: httpPort}} = settings;
	const linkAddress = `${address}:${settings.linkPort}`;
	const incarnation = makeIncarnation(Date.now());
	const metrics = new ForwardMetrics();
	const path = makeForwardPath({
		...settings,
		clock,
		random,
		address: linkAddress,
		listPeers: now => mesh.listHeard(now),
		ask: (peer, question) => mesh.send(peer, question),
		openTransport: listener => makeHttpTransport({dialect, clock}, listener),
		countRegistered: () => view.list(entriesPrefix).length,
		getService: name => state.table?.findService(name),
		onLoad() {
			mesh.reportSoon();
		},
		onRefusal(service, isRestAsked) {
			metrics.refusals.inc({service, rest: String(isRestAsked)});
		},
		onLeave(target, source) {
			if (state.noteLeave(target, source, clock())) {
				mesh.reportSoon();
			}
		},
		onNews() {
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

	const view: StoreView = new StoreView({
		feed,
		prefix: '',
		waitMs: viewWaitMs,
		longestPauseMs,
		clock,
		random,
		delay,
		log(message) {
			viewLog.info(message);
		},
		onChange(now) {
			state.refresh(now);
			meetRegistered();
		},
	});
	const state = new FleetState({
		view,
		source,
		directory: book.directory,
		log(message) {
			fleetLog.info(message);
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
	});
	const getTable = () => state.table;
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
			metrics.noteEnd(exchange, problem, now);
			requestLog.info(describeEnd(exchange, problem, {viewAgeMs: view.getAge(now), now}));
		},
		log(message) {
			requestLog.error(message);
		},
	});

	const hello = (): MessageOf<'hello'> => ({
		type: 'hello', protocol: linkProtocol, id, role: 'entry', availabilityZone, incarnation, tableVersion: 0,
	});
	const mesh = new EntryMesh({
		id,
		address: linkAddress,
		availabilityZone,
		async connect(peer) {
			const [host, port] = peer.split(':');
			return connectLink({
				...settings.link, address: host, port: Number(port), timeoutMs: linkTimeoutMs, meter: metrics.meterLink,
			});
		},
		hello,
		view,
		board,
		getNews: (isWhole, now) => path.getNews(isWhole, now),
		onNews(peer, news, isNear, now) {
			path.hearNews(peer, news, isNear, now);
		},
		onMessage(message, send) {
			if (message.type === 'permit-wanted') {
				send(book.permits.answer(message));
			} else if (message.type === 'permit') {
				book.permits.receive(message);
			}
		},
		clock,
		random,
		log(message) {
			viewLog.info(message);
		},
	});
	const meetRegistered = (): void => {
		mesh.meet(view.list(entriesPrefix).map(({value}) => value));
	};

	const registration = new Registration({
		registry,
		key: `${entriesPrefix}${id}`,
		value: linkAddress,
		log(message) {
			entryLog.info(message);
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
	const isReady = () => !isStopping && state.table !== undefined;
	const getStatus = () => ({
		id, availabilityZone, isReady: isReady(), configuration: state.table?.version, revision: view.asOf, ageMs: view.getAge(clock()), openRequests: server.openRequests, inFlight: board.getOwn(),
	});
	const shared = {
		address, registry: metrics.registry, isReady, pages: {status: getStatus},
	};
	const ready = await startAdminServer({
		...shared, address: settings.ready.address.host, port: settings.ready.address.port, readyPath: settings.ready.path,
	});
	const admin = await startAdminServer({...shared, port: settings.metricsPort});
	mesh.meet(settings.seeds);
	void view.run();
	const timer = setInterval(() => {
		const now = clock();
		mesh.tick();
		path.tick();
		metrics.resting.set(book.rests.size);
		metrics.limited.set(book.limits.size);
		state.tick(now);
		void registration.tick(now);
	}, tickMs);
	entryLog.info(`started in ${availabilityZone}, callers at ${address}:${server.port}`);

	let finish: () => void;
	const stopped = new Promise<void>(resolve => {
		finish = resolve;
	});
	const close = async (): Promise<void> => {
		clearInterval(timer);
		view.close();
		mesh.close();
		path.close();
		ready.close();
		admin.close();
		await listener.close();
		finish();
	};

	return {
		httpPort: server.port,
		isReady,
		getRevision: () => view.asOf,
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
