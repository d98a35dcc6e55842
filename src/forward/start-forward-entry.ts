import {setTimeout as delay} from 'node:timers/promises';
import {CallerServer} from '../callers/caller-server.js';
import {GracePeriod} from '../callers/grace-period.js';
import {type ForwardEntrySettings} from '../config/forward-entry-settings.js';
import {DescriptorShares} from '../descriptors/descriptor-shares.js';
import {readDescriptorLimit} from '../descriptors/read-descriptor-limit.js';
import {connectLink} from '../link/connect-link.js';
import {type LinkConnection} from '../link/link-connection.js';
import {listenForLinks} from '../link/listen-for-links.js';
import {type MessageOf} from '../link/message-of.js';
import {getLogger} from '../log/get-logger.js';
import {runGuarded} from '../log/run-guarded.js';
import {getDefaultMemory} from '../memory/get-default-memory.js';
import {MemoryBudget} from '../memory/memory-budget.js';
import {makeIncarnation} from '../membership/make-incarnation.js';
import {ForwardMetrics} from '../metrics/forward-metrics.js';
import {registerViewGauges} from '../metrics/register-view-gauges.js';
import {startAdminServer} from '../metrics/start-admin-server.js';
import {describeRequest} from './describe-request.js';
import {ExchangeRunner} from './exchange-runner.js';
import {makeForwardFilter} from './filters/make-forward-filter.js';
import {makeKeyFilter} from './filters/make-key-filter.js';
import {makeReadFilter} from './filters/make-read-filter.js';
import {makeRouteFilter} from './filters/make-route-filter.js';
import {type ForwardDependencies} from './forward-dependencies.js';
import {makeCrashRecords} from './make-crash-records.js';
import {makeEntryState} from './make-entry-state.js';
import {makeForwardPipeline} from './make-forward-pipeline.js';
import {makeHttpTransport} from './make-http-transport.js';

type RunningForwardEntry = {
	/** TCP port for callers. */
	readonly httpPort: number;
	readonly isReady: () => boolean;
	/** Revision of the store up to which the entry's view is current. */
	readonly getRevision: () => number;
	/** Resolves when the entry has stopped. */
	readonly stopped: Promise<void>;
	/** Stops after the open requests, within the configured grace period. */
	stop(): Promise<void>;
	/** Stops at once. */
	kill(): Promise<void>;
};

const requestLog = getLogger('request');
const viewLog = getLogger('view');
const fleetLog = getLogger('fleet');
const entryLog = getLogger('entry');

const logError = (message: string): void => {
	entryLog.error(message);
};

/** Interval of the checks of peers, stalls and registrations, milliseconds. */
const tickMs = 100;
/** Limit of the HTTP parser on headers, bytes; the configured limit is checked by a filter. */
const parserHeaderBytes = 65_536;
/** Timeout for opening a link to a peer, milliseconds. */
const linkTimeoutMs = 1000;
/** The process ends this long before the grace period is over and it would be killed, milliseconds. */
const graceMarginMs = 400;

/** Starts an entry that forwards requests directly to registered targets: connects its components and starts its servers. */
export async function startForwardEntry(settings: ForwardEntrySettings, dependencies: ForwardDependencies): Promise<RunningForwardEntry> {
	const {dialect, openEngine, clock, random} = dependencies;
	const {id, availabilityZone, callers: {host: address, port: httpPort}} = settings;
	const linkAddress = `${address}:${settings.linkPort}`;
	const metrics = new ForwardMetrics();
	const budget = new MemoryBudget(settings.limits.heldBytes ?? getDefaultMemory());
	const descriptors = new DescriptorShares({maximum: settings.limits.descriptors, readLimit: readDescriptorLimit});
	const grace = new GracePeriod();
	const pipeline = makeForwardPipeline({
		...settings,
		grace,
		clock,
		random,
		address: linkAddress,
		listPeers: now => mesh.listLivePeers(now),
		sendToPeer: (peer, message) => mesh.send(peer, message),
		openTransport: listener => makeHttpTransport({dialect, clock, getMaximumConnections: now => descriptors.getForTargets(now)}, listener),
		countRegistered: () => entryState.countRegistered(),
		isNewFleet: () => entryState.isNewFleet(),
		getService: name => fleet.table?.findService(name),
		onLoadChange() {
			mesh.reportSoon();
		},
		onRefusal(service, hasRetryAfter) {
			metrics.refusals.inc({service, rest: String(hasRetryAfter)});
		},
		onLeave(target, source) {
			if (fleet.noteLeave(target, source, clock())) {
				mesh.reportSoon();
			}
		},
		onCrash(target) {
			metrics.crashes.inc({service: tracker.directory.get(target)?.service ?? ''});
		},
		onUrgentReport() {
			mesh.reportNow();
		},
		onRetryRefusal(service) {
			metrics.refusedRetries.inc({service});
		},
		onSilence(reason) {
			view.noteSilence(reason);
		},
		getLastReportAt: () => mesh.lastReportAt,
		onSend(service, isRetry) {
			metrics.sends.inc({service, repeat: String(isRetry)});
		},
		log(message) {
			requestLog.info(message);
		},
	});
	const {inFlightCounts, tracker, dispatcher, crashes, stops} = pipeline;
	const crashRecords = makeCrashRecords(crashes, {
		registry: dependencies.registry,
		log(message) {
			requestLog.info(message);
		},
	});
	let isStopping = false;

	const entryState = makeEntryState({
		...dependencies,
		id,
		incarnation: makeIncarnation(Date.now()),
		address: linkAddress,
		availabilityZone,
		directory: tracker.directory,
		inFlightCounts,
		delay,
		async connect(peer) {
			const [host, port] = peer.split(':');
			return connectLink({
				...settings.link, address: host, port: Number(port), timeoutMs: linkTimeoutMs, meter: metrics.meterLink,
			});
		},
		getDigest: (isFull, now) => pipeline.getDigest(isFull, now),
		onDigest(peer, digest, isSameZone, now) {
			pipeline.mergeDigest(peer, digest, isSameZone, now);
		},
		onMessage(message, send) {
			if (message.type === 'permit-wanted') {
				send(tracker.permits.handleRequest(message));
			} else if (message.type === 'permit') {
				tracker.permits.handleAnswer(message);
			}
		},
		onTable({configuration: {version, limits}}) {
			metrics.configurationVersion.set(version);
			server.setTimeouts(limits.headerTimeoutMs, limits.idleTimeoutMs);
		},
		onLeave(target) {
			pipeline.removeTarget(target);
		},
		onRestart(target) {
			pipeline.resetTarget(target);
		},
		onChange(changed, now) {
			for (const records of crashRecords) {
				records.read(changed, now);
			}
		},
		onSilentLink(since) {
			pipeline.noteSilentLink(since);
		},
		onGroupFormed(failureDomain) {
			pipeline.noteGroupFormed(failureDomain);
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
	const {view, fleet, mesh} = entryState;
	registerViewGauges(metrics.registry, () => view, clock);
	const getTable = () => entryState.getTable(clock());
	const runner = new ExchangeRunner({
		dialect,
		filters: [
			makeRouteFilter({getTable, defaultDeadlineMs: settings.requests.defaultDeadlineMs}),
			makeKeyFilter(getTable),
			makeReadFilter({
				getTable, maximumHeldBytes: budget.maximumAccountBytes, clock, stops,
			}),
			makeForwardFilter(dispatcher),
		],
		onEnd(exchange, problem) {
			const now = clock();
			metrics.recordEnd(exchange, problem, now);
			requestLog.info(describeRequest(exchange, problem, {
				era: view.asOf.era, viewAgeMs: view.getAge(now), silentLinks: mesh.countSilentLinks(now), now,
			}));
		},
		onCut(exchange, closedBy) {
			metrics.cutAnswers.inc({service: exchange.service, by: closedBy});
			if (closedBy === 'entry') {
				requestLog.warn(`${exchange.metadata.id ?? '-'}: this entry closed the connection before the answer was complete; ${exchange.decisions.join('; ')}`);
			}
		},
		log(message) {
			requestLog.error(message);
		},
	});
	const server = new CallerServer({
		address,
		port: httpPort,
		maximumHeaderBytes: parserHeaderBytes,
		clock,
		budget,
		getMaximumConnections: now => descriptors.getForCallers(now),
		onRelease(kind) {
			metrics.callers.noteRelease(kind);
		},
		serve: async request => runner.serve(request),
		log(message) {
			requestLog.warn(message);
		},
	});

	metrics.callers.observe(() => budget.heldBytes, () => server.connectionCount);

	const passOrder = async ({number, engineAddress, order}: MessageOf<'engine-order'>, connection: LinkConnection): Promise<void> => {
		const outcome = openEngine ? await openEngine(engineAddress).order(order) : 'refused';
		entryLog.info(`order ${order.type} passed to engine ${engineAddress} for a planner: ${outcome}`);
		connection.send({type: 'engine-outcome', number, outcome});
	};

	const listener = await listenForLinks({
		...settings.link,
		address,
		port: settings.linkPort,
		meter: metrics.meterLink,
		onConnection(connection) {
			connection.onMessage(message => {
				if (message.type === 'engine-order') {
					runGuarded(logError, `order for engine ${message.engineAddress}`, async () => passOrder(message, connection));
				} else {
					mesh.receive(message, reply => connection.send(reply));
				}
			});
		},
		onRejection(reason) {
			entryLog.warn(`peer connection rejected: ${reason}`);
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
		inFlight: inFlightCounts.getOwnCounts(),
	});
	const shared = {
		address, registry: metrics.registry, isReady, pages: {status: getStatus},
	};
	const ready = await startAdminServer({
		...shared, address: settings.ready.address.host, port: settings.ready.address.port, readyPath: settings.ready.path,
	});
	const admin = await startAdminServer({...shared, port: settings.metricsPort});
	entryState.start(settings.seeds);
	const timer = setInterval(() => {
		const now = clock();
		runGuarded(logError, 'periodic check of peers and registrations', () => {
			entryState.tick(now);
		});
		runGuarded(logError, 'periodic check of requests', () => {
			pipeline.tick();
		});
		for (const records of crashRecords) {
			runGuarded(logError, 'writing of a crash record', async () => records.tick(now));
		}

		runGuarded(logError, 'update of metrics', () => {
			metrics.blockedParts.set(crashes.parts.size);
			metrics.cooldownTargets.set(tracker.cooldowns.size);
			metrics.rateLimitedTargets.set(tracker.limits.size);
			metrics.silentLinks.set(mesh.countSilentLinks(now));
		});
	}, tickMs);
	entryLog.info(`started in ${availabilityZone}, listening for callers on ${address}:${server.port}`);

	let finish: () => void;
	const stopped = new Promise<void>(resolve => {
		finish = resolve;
	});
	const close = async (): Promise<void> => {
		clearInterval(timer);
		entryState.close();
		pipeline.close();
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
			const {graceMs, noticeMs} = settings.stop;
			const now = clock();
			const endsAt = now + graceMs - graceMarginMs;
			isStopping = true;
			grace.begin({noticedAt: now + noticeMs, endsAt});
			stops.tick(now);
			server.announceStop();
			entryLog.info(`stopping, ${server.openRequests} open requests`);
			await delay(noticeMs);
			const drained = server.drain();
			await Promise.race([drained, delay(grace.getLeftMs(clock()), undefined, {ref: false})]);
			grace.end();
			await Promise.race([drained, delay(endsAt - clock(), undefined, {ref: false})]);
			entryLog.info(`stopped, ${server.openRequests} open requests`);
			server.close();
			await close();
		},
		async kill() {
			server.close();
			await close();
		},
	};
}
