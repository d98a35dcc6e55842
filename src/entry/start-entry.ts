import {setTimeout as delay} from 'node:timers/promises';
import {TargetLink} from '../calls/target-link.js';
import {TargetPool} from '../calls/target-pool.js';
import {GracePeriod} from '../callers/grace-period.js';
import {type EntrySettings} from '../config/entry-settings.js';
import {DescriptorShares} from '../descriptors/descriptor-shares.js';
import {readDescriptorLimit} from '../descriptors/read-descriptor-limit.js';
import {Lender} from '../limits/lender.js';
import {LimitController} from '../limits/limit-controller.js';
import {connectLink} from '../link/connect-link.js';
import {type LinkConnection} from '../link/link-connection.js';
import {type LinkMessage} from '../link/link-message.js';
import {linkProtocolVersion} from '../link/link-protocol-version.js';
import {listenForLinks} from '../link/listen-for-links.js';
import {type MessageOf} from '../link/message-of.js';
import {getLogger} from '../log/get-logger.js';
import {makeIncarnation} from '../membership/make-incarnation.js';
import {getDefaultMemory} from '../memory/get-default-memory.js';
import {type MemoryAccount} from '../memory/memory-account.js';
import {MemoryBudget} from '../memory/memory-budget.js';
import {Membership} from '../membership/membership.js';
import {PeerPool} from '../membership/peer-pool.js';
import {ProcessMetrics} from '../metrics/process-metrics.js';
import {startAdminServer} from '../metrics/start-admin-server.js';
import {ClaimLease} from '../once/claim-lease.js';
import {ClaimStore} from '../once/claim-store.js';
import {createEtcdKeyValue} from '../key-value/create-etcd-key-value.js';
import {type Vm} from '../vm-list/vm.js';
import {Dispatcher} from '../requests/dispatcher.js';
import {Explanations} from '../requests/explanations.js';
import {makeDispatchFilter} from '../requests/filters/make-dispatch-filter.js';
import {makeAuthenticationFilter} from '../requests/filters/make-authentication-filter.js';
import {makeLimitFilter} from '../requests/filters/make-limit-filter.js';
import {makeServiceFilter} from '../requests/filters/make-service-filter.js';
import {makeCallOptionsFilter} from '../requests/filters/make-call-options-filter.js';
import {makeTicketFilter} from '../requests/filters/make-ticket-filter.js';
import {RetryBudget} from '../requests/retry-budget.js';
import {TableController} from '../table/table-controller.js';
import {createTracer} from '../tracing/create-tracer.js';
import {EntryController} from './entry-controller.js';
import {GroupPlanners} from './group-planners.js';
import {LimitOwnerFinder} from './limit-owner-finder.js';
import {RequestServer} from './request-server.js';
import {type RunningEntry} from './running-entry.js';

const logger = getLogger('entry');

/**
 * Starts an entry process: creates its controllers, wires them together, and starts its servers.
 *
 * @param random - numbers in [0, 1) for jitter
 * @param routingRandom - numbers in [0, 1) for the choice of targets
 */
export async function startEntry(settings: EntrySettings, clock: () => number, random: () => number, routingRandom = random): Promise<RunningEntry> {
	const {id, availabilityZone, platform} = settings;
	const incarnation = makeIncarnation(clock());
	const metrics = new ProcessMetrics();
	const budget = new MemoryBudget(settings.limits.heldBytes ?? getDefaultMemory());
	const descriptors = new DescriptorShares({maximum: settings.limits.descriptors, readLimit: readDescriptorLimit});
	const keyValue = createEtcdKeyValue({
		url: platform.keyValue,
		timeoutMs: platform.timeoutMs,
		onCall(operation) {
			metrics.platformCalls.inc({operation});
		},
	});
	const membership = new Membership({id, availabilityZone, incarnation});
	const table = new TableController({
		keyValue,
		random,
		log(message) {
			logger.info(`table: ${message}`);
		},
		onInstall(snapshot) {
			metrics.tableVersion.set(snapshot.version);
			controller.broadcastTableVersion();
		},
	});
	const hello = (): MessageOf<'hello'> => ({
		type: 'hello', protocol: linkProtocolVersion, id, role: 'entry', availabilityZone, incarnation, tableVersion: table.version,
	});
	const connect = async (vm: Vm): Promise<LinkConnection> => connectLink({
		address: vm.address,
		port: vm.linkPort,
		key: settings.link.key,
		maximumFrameBytes: settings.link.maximumFrameBytes,
		timeoutMs: platform.timeoutMs,
		meter: metrics.meterLink,
	});
	/* What is sent over links cannot be taken back. */
	const openPinnedAccount = (): MemoryAccount => budget.open({getReleasable: now => ({bytes: 0, since: now}), release: () => undefined});
	const targets = new TargetPool({
		id,
		availabilityZone,
		subsetSize: settings.routing.subsetSize,
		openLink(vm) {
			const pending = openPinnedAccount();
			return new TargetLink({
				vm,
				holdPending: bytes => pending.resize('body', bytes, clock()),
				connect: async () => connect(vm),
				hello,
				clock,
				random,
				resumeMs: settings.requests.resumeMs,
				onExpertLoads(message) {
					controller.noteExpertLoads(message);
				},
				onTableVersion(version) {
					controller.noteTableVersion(version);
				},
			});
		},
	});
	const peers = new PeerPool({
		connect, hello, clock, random,
		onMessage(message, send) {
			controller.receive(message, send, '');
		},
	});
	const limitOwners = new LimitOwnerFinder(membership, clock);
	const limits = new LimitController({
		id,
		lender: new Lender(),
		clock,
		findLender: name => limitOwners.findOwner(name),
		sendBorrow(owner, message) {
			const vm = membership.getVm(owner);
			return vm !== undefined && peers.send(vm, message);
		},
		getReachableShare: () => membership.getReachableZoneShare(clock()),
		countEntries: () => membership.listLive(clock()).length,
	});
	const groupPlanners = new GroupPlanners({
		id,
		keyValue,
		membership,
		targets,
		intervalMs: settings.maps.intervalMs,
		getRow: (service, group) => table.current?.findRow(service, '*', group),
		log(message) {
			logger.info(`maps: ${message}`);
		},
	});
	const controller = new EntryController({
		groups: groupPlanners,
		id, availabilityZone, platform, membership, table, targets, peers, limits, clock, random, metrics,
		log(message) {
			logger.info(message);
		},
	});
	const explanations = new Explanations();
	const getTable = () => table.current;
	const grace = new GracePeriod();
	const dispatcher = new Dispatcher({
		pool: targets,
		grace,
		budget: new RetryBudget(settings.requests.retryRatio),
		maximumAttempts: settings.requests.maximumAttempts,
		clock,
		random: routingRandom,
		tableVersion: () => table.version,
		onRefusal(reason) {
			metrics.refusals.inc({reason});
		},
		onRetry(isAllowed) {
			metrics.retries.inc({allowed: String(isAllowed)});
		},
	});
	const claims = new ClaimStore(keyValue, new ClaimLease({keyValue, ...settings.claims}));
	const authenticate = makeAuthenticationFilter(getTable);
	const server = new RequestServer({
		address: settings.address,
		port: settings.httpPort,
		maximumBodyBytes: settings.requests.maximumBodyBytes,
		bodyTimeoutMs: settings.requests.defaultTimeoutMs,
		clock,
		budget,
		getMaximumConnections: now => descriptors.getForCallers(now),
		onRelease(kind) {
			metrics.callers.noteRelease(kind);
		},
		tracer: createTracer(settings.tracing.otlpUrl),
		metrics,
		explanations,
		tableVersion: () => table.version,
		filters: [
			authenticate,
			makeServiceFilter({getKind: service => targets.getKind(service), getTable}),
			makeCallOptionsFilter(settings.requests.defaultTimeoutMs),
			makeLimitFilter(limits),
			makeDispatchFilter({
				dispatcher, claims, linkKey: settings.link.key, clock,
			}),
		],
		ticketFilters: [authenticate, makeTicketFilter({
			pool: targets, linkKey: settings.link.key, clock, random: routingRandom,
		})],
		log(message) {
			logger.warn(message);
		},
	});

	metrics.callers.observe(() => budget.heldBytes, () => server.connectionCount);

	const accept = (connection: LinkConnection): void => {
		let peer: MessageOf<'hello'> | undefined;
		connection.onMessage(message => {
			if (message.type === 'hello' && message.protocol === linkProtocolVersion) {
				peer = message;
				if (message.role === 'entry') {
					controller.noteEntryHello(message.id);
				}

				connection.send({
					type: 'welcome', protocol: linkProtocolVersion, id, availabilityZone, incarnation, tableVersion: table.version, leaving: false,
				});
				return;
			}

			if (!peer) {
				connection.destroy();
				return;
			}

			controller.receive(message, (reply: LinkMessage) => connection.send(reply), peer.id);
		});
	};

	const listener = await listenForLinks({
		address: settings.address,
		port: settings.linkPort,
		key: settings.link.key,
		maximumFrameBytes: settings.link.maximumFrameBytes,
		meter: metrics.meterLink,
		onConnection: accept,
		onRejection(reason) {
			logger.warn(`link rejected: ${reason}`);
		},
	});
	await server.listen();
	const getStatus = () => controller.getStatus();
	const admin = await startAdminServer({
		address: settings.address,
		port: settings.adminPort,
		registry: metrics.registry,
		isReady: () => controller.isReady,
		pages: {
			status: getStatus,
			table: () => table.current && {head: table.current.head, rows: table.current.rows},
			explain: argument => explanations.get(argument) ?? groupPlanners.explain(argument),
		},
	});
	await controller.start();

	const close = async (): Promise<void> => {
		controller.close();
		table.close();
		targets.close();
		peers.close();
		admin.close();
		await listener.close();
	};

	return {
		httpPort: server.port,
		linkPort: listener.port,
		adminPort: admin.port,
		getTable,
		isReady: () => controller.isReady,
		getStatus,
		disconnectTargets() {
			for (const link of targets.list()) {
				link.disconnect();
			}
		},
		async stop() {
			const noticedAt = clock() + settings.stopDelayMs;
			grace.begin({noticedAt, endsAt: noticedAt + settings.stopMs});
			const leftMs = grace.getLeftMs(noticedAt);
			controller.startLeaving();
			server.announceStop();
			await delay(settings.stopDelayMs);
			const drained = server.drain();
			await Promise.race([drained, delay(leftMs, undefined, {ref: false})]);
			grace.end();
			await Promise.race([drained, delay(settings.stopMs - leftMs, undefined, {ref: false})]);
			server.close();
			await close();
		},
		async kill() {
			server.close();
			await close();
		},
	};
}
