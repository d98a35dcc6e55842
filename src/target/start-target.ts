import {AdmissionQueue} from '../admission/admission-queue.js';
import {GracePeriod} from '../callers/grace-period.js';
import {type TargetSettings} from '../config/target-settings.js';
import {openStreamAgent} from '../http/open-stream-agent.js';
import {connectLink} from '../link/connect-link.js';
import {type LinkMessage} from '../link/link-message.js';
import {linkProtocolVersion} from '../link/link-protocol-version.js';
import {listenForLinks} from '../link/listen-for-links.js';
import {type MessageOf} from '../link/message-of.js';
import {getLogger} from '../log/get-logger.js';
import {runGuarded} from '../log/run-guarded.js';
import {GroupMember} from '../map-switch/group-member.js';
import {getDefaultMemory} from '../memory/get-default-memory.js';
import {MemoryBudget} from '../memory/memory-budget.js';
import {makeIncarnation} from '../membership/make-incarnation.js';
import {ProcessMetrics} from '../metrics/process-metrics.js';
import {startAdminServer} from '../metrics/start-admin-server.js';
import {createEtcdKeyValue} from '../key-value/create-etcd-key-value.js';
import {createTracer} from '../tracing/create-tracer.js';
import {startSpan} from '../tracing/start-span.js';
import {traceHop} from '../tracing/trace-hop.js';
import {writeTraceParent} from '../tracing/write-trace-parent.js';
import {callEngine} from './call-engine.js';
import {PeerLinks} from './peer-links.js';
import {Lifecycle} from './lifecycle.js';
import {RecordTable} from './record-table.js';
import {RequestController} from './request-controller.js';
import {type RunningTarget} from './running-target.js';

const logger = getLogger('target');
const logError = (message: string): void => {
	logger.error(message);
};

/** Age below which tombstones and records of keys are never evicted, milliseconds. */
const minimumTombstoneAgeMs = 600_000;
/** Interval of load reports, milliseconds. A busy target refuses at once, so stale reports do little harm and rare ones save bandwidth. */
const loadReportIntervalMs = 8000;
/** Interval at which deadlines and lost readers are checked, milliseconds. */
const tickIntervalMs = 100;
/** How long to wait at a planned stop for peers to receive the last messages, milliseconds. */
const closeTimeoutMs = 2000;

/** Starts a target process: the listener for links, the controllers, and the admin server. */
export async function startTarget(settings: TargetSettings, clock: () => number): Promise<RunningTarget> {
	const incarnation = makeIncarnation(clock());
	const metrics = new ProcessMetrics();
	const dispatcher = openStreamAgent(settings.admission.concurrency * 2);
	const tracer = createTracer(settings.tracing.otlpUrl);
	const budget = new MemoryBudget(settings.limits.heldBytes ?? getDefaultMemory());
	const queue = new AdmissionQueue(settings.admission);
	let tableVersion = 0;
	let resolveStopped: () => void;
	const stopped = new Promise<void>(resolve => {
		resolveStopped = resolve;
	});

	const getLoad = (): MessageOf<'load'>['load'] => ({
		running: queue.running,
		waiting: queue.waiting,
		concurrency: settings.admission.concurrency,
		serviceMs: queue.serviceMs,
	});

	const grace = new GracePeriod();
	const stopTimers: NodeJS.Timeout[] = [];
	const cancelStopTimers = (): void => {
		for (const timer of stopTimers.splice(0)) {
			clearTimeout(timer);
		}
	};

	const beginGrace = (now: number): void => {
		// Entries learn of the stop at once, but what has arrived may go on throughout.
		grace.begin({noticedAt: Number.POSITIVE_INFINITY, endsAt: now + settings.stopMs});
		stopTimers.push(
			setTimeout(() => {
				logger.warn('stop time-out reached; requests that still run are given up');
				grace.end();
				requests.tick(clock());
			}, grace.getLeftMs(now)),
			setTimeout(() => {
				lifecycle.noteDrained();
				void close();
			}, settings.stopMs),
		);
	};

	const lifecycle = new Lifecycle(() => {
		const isLeaving = lifecycle.state !== 'serving';
		cancelStopTimers();
		if (lifecycle.state === 'leaving') {
			beginGrace(clock());
		} else if (!isLeaving) {
			grace.revoke();
		}

		logger.info(isLeaving ? 'leaving: no new requests are accepted' : 'serving');
		links.broadcast({type: 'leaving', leaving: isLeaving});
		drainIfIdle();
	});

	const requests = new RequestController({
		incarnation,
		queue,
		records: new RecordTable({maximum: settings.records.maximum, minimumAgeMs: minimumTombstoneAgeMs}),
		replayBytes: settings.records.replayBytes,
		budget,
		resumeMs: settings.records.resumeMs,
		clock,
		isLeaving: () => lifecycle.state !== 'serving',
		grace,
		async runOnEngine(execution) {
			const {headers} = execution.request;
			const span = startSpan(tracer, 'target', headers, execution.arrivedAt);
			await traceHop(tracer, 'engine', span, async engineSpan => {
				writeTraceParent(engineSpan, headers);
				await callEngine(execution, {url: settings.url, dispatcher, tableVersion: () => tableVersion, clock});
			}).finally(() => {
				span.end();
			});
		},
		onIdle: drainIfIdle,
	});

	function drainIfIdle(): void {
		if (lifecycle.state === 'leaving' && requests.isIdle) {
			lifecycle.noteDrained();
			void close();
		}
	}

	const noteTableVersion = (version: number): void => {
		tableVersion = Math.max(tableVersion, version);
		metrics.tableVersion.set(tableVersion);
	};

	const links = new PeerLinks({
		welcome: () => ({
			type: 'welcome',
			protocol: linkProtocolVersion,
			id: settings.id,
			availabilityZone: settings.availabilityZone,
			incarnation,
			tableVersion,
			leaving: lifecycle.state !== 'serving',
			service: settings.service,
			load: getLoad(),
		}),
		onTableVersion: noteTableVersion,
		onMessage: handle,
		onLost(send) {
			requests.handleLostLink(send, clock());
		},
		warn(message) {
			logger.warn(message);
		},
	});

	function handle(message: LinkMessage, send: (message: LinkMessage) => boolean): void {
		switch (message.type) {
			case 'heartbeat': {
				noteTableVersion(message.tableVersion);
				break;
			}

			case 'stop': {
				lifecycle.stop();
				break;
			}

			case 'start': {
				lifecycle.start();
				break;
			}

			default: {
				if (message.type === 'request') {
					noteTableVersion(message.tableVersion);
				}

				requests.receive(message, send, clock());
				member?.receive(message, send);
			}
		}
	}

	const keyValue = createEtcdKeyValue({
		url: settings.platform.keyValue,
		timeoutMs: settings.platform.timeoutMs,
		onCall(operation) {
			metrics.platformCalls.inc({operation});
		},
	});
	const member = settings.group === undefined || settings.rank === undefined
		? undefined
		: new GroupMember({
			settings,
			keyValue,
			connect: async vm => connectLink({
				address: vm.address,
				port: vm.linkPort,
				key: settings.link.key,
				maximumFrameBytes: settings.link.maximumFrameBytes,
				timeoutMs: settings.platform.timeoutMs,
				meter: metrics.meterLink,
			}),
			hello: () => ({
				type: 'hello', protocol: linkProtocolVersion, id: settings.id, role: 'target', availabilityZone: settings.availabilityZone, incarnation, tableVersion,
			}),
			clock,
			random: Math.random,
			log(message) {
				logger.info(`maps: ${message}`);
			},
		});

	const listener = await listenForLinks({
		address: settings.address,
		port: settings.linkPort,
		key: settings.link.key,
		maximumFrameBytes: settings.link.maximumFrameBytes,
		meter: metrics.meterLink,
		onConnection(connection) {
			links.accept(connection);
		},
		onRejection(reason) {
			logger.warn(`link rejected: ${reason}`);
		},
	});
	const getStatus: RunningTarget['getStatus'] = () => ({
		id: settings.id, service: settings.service, state: lifecycle.state, incarnation, tableVersion, load: getLoad(), links: links.size,
	});
	const admin = await startAdminServer({
		address: settings.address,
		port: settings.adminPort,
		registry: metrics.registry,
		isReady: () => lifecycle.state === 'serving',
		pages: {
			status: getStatus,
		},
	});
	const ticker = setInterval(() => {
		runGuarded(logError, 'periodic check of requests', () => {
			requests.tick(clock());
		});
	}, tickIntervalMs);
	const reporter = setInterval(() => {
		runGuarded(logError, 'load report', () => {
			metrics.measureControlCpu(() => {
				links.broadcast({type: 'load', load: getLoad(), tableVersion});
			});
		});
	}, loadReportIntervalMs);

	async function close(): Promise<void> {
		member?.close();
		clearInterval(ticker);
		clearInterval(reporter);
		// Links are drained first, so that the last parts of answers are sent.
		await listener.drain(closeTimeoutMs);
		admin.close();
		await dispatcher.close();
		resolveStopped();
	}

	return {
		linkPort: listener.port,
		adminPort: admin.port,
		incarnation,
		getStatus,
		stopped,
		async stop() {
			lifecycle.stop();
			await stopped;
		},
		async kill() {
			cancelStopTimers();
			member?.close();
			clearInterval(ticker);
			clearInterval(reporter);
			admin.close();
			await listener.close();
			await dispatcher.destroy();
			resolveStopped();
		},
	};
}
