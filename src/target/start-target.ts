import {Agent} from 'undici';
import {AdmissionQueue} from '../admission/admission-queue.js';
import {type TargetSettings} from '../config/target-settings.js';
import {connectLink} from '../link/connect-link.js';
import {type LinkMessage} from '../link/link-message.js';
import {linkProtocol} from '../link/link-protocol.js';
import {listenLink} from '../link/listen-link.js';
import {type MessageOf} from '../link/message-of.js';
import {getLogger} from '../log/get-logger.js';
import {GroupMember} from '../map-switch/group-member.js';
import {makeIncarnation} from '../membership/make-incarnation.js';
import {ProcessMetrics} from '../metrics/process-metrics.js';
import {startAdminServer} from '../metrics/start-admin-server.js';
import {createEtcdKeyValue} from '../key-value/create-etcd-key-value.js';
import {createTracer} from '../tracing/create-tracer.js';
import {startSpan} from '../tracing/start-span.js';
import {traceHop} from '../tracing/trace-hop.js';
import {writeTraceParent} from '../tracing/write-trace-parent.js';
import {callEngine} from './call-engine.js';
import {EntryLinks} from './entry-links.js';
import {Lifecycle} from './lifecycle.js';
import {RecordTable} from './record-table.js';
import {RequestController} from './request-controller.js';
import {type RunningTarget} from './running-target.js';

const logger = getLogger('target');
const tombstoneAgeMs = 600_000;
/** Time between two load reports. Since a busy target refuses at once, older reports cost little and fewer save bytes. */
const reportMs = 8000;
const tickMs = 100;
/** Longest wait for a peer to take the last bytes of a link, milliseconds. */
const closeMs = 2000;

/** Starts a target process: the links to entries, the controllers, and the admin server. */
export async function startTarget(settings: TargetSettings, clock: () => number): Promise<RunningTarget> {
	const incarnation = makeIncarnation(clock());
	const metrics = new ProcessMetrics();
	const dispatcher = new Agent({connections: settings.admission.concurrency * 2});
	const tracer = createTracer(settings.tracing.otlpUrl);
	const queue = new AdmissionQueue(settings.admission);
	let tableVersion = 0;
	let resolveStopped: () => void;
	const stopped = new Promise<void>(resolve => {
		resolveStopped = resolve;
	});

	const describeLoad = (): MessageOf<'load'>['load'] => ({
		running: queue.running,
		waiting: queue.waiting,
		concurrency: settings.admission.concurrency,
		serviceMs: queue.serviceMs,
	});

	let stopTimer: NodeJS.Timeout | undefined;
	const lifecycle = new Lifecycle(() => {
		const isLeaving = lifecycle.state !== 'serving';
		clearTimeout(stopTimer);
		if (lifecycle.state === 'leaving') {
			stopTimer = setTimeout(() => {
				logger.warn('what still runs is cut off, the longest wait is over');
				lifecycle.drain();
				void close();
			}, settings.stopMs);
		}

		logger.info(isLeaving ? 'leaving, nothing new is taken' : 'serving');
		links.broadcast({type: 'leaving', leaving: isLeaving});
		drainIfIdle();
	});

	const requests = new RequestController({
		incarnation,
		queue,
		records: new RecordTable({maximum: settings.records.maximum, minimumAgeMs: tombstoneAgeMs}),
		replayBytes: settings.records.replayBytes,
		resumeMs: settings.records.resumeMs,
		clock,
		isLeaving: () => lifecycle.state !== 'serving',
		async call(execution) {
			const {headers} = execution.request;
			const span = startSpan(tracer, 'target', headers, execution.arrivedAt);
			await traceHop(tracer, 'engine', span, async engineSpan => {
				writeTraceParent(engineSpan, headers);
				await callEngine(execution, {url: settings.url, dispatcher, tableVersion: () => tableVersion});
			}).finally(() => {
				span.end();
			});
		},
		onIdle: drainIfIdle,
	});

	function drainIfIdle(): void {
		if (lifecycle.state === 'leaving' && requests.isIdle) {
			lifecycle.drain();
			void close();
		}
	}

	const noteVersion = (version: number): void => {
		tableVersion = Math.max(tableVersion, version);
		metrics.tableVersion.set(tableVersion);
	};

	const links = new EntryLinks({
		welcome: () => ({
			type: 'welcome',
			protocol: linkProtocol,
			id: settings.id,
			availabilityZone: settings.availabilityZone,
			incarnation,
			tableVersion,
			leaving: lifecycle.state !== 'serving',
			service: settings.service,
			load: describeLoad(),
		}),
		onTableVersion: noteVersion,
		onMessage: handle,
		onLost(send) {
			requests.loseLink(send, clock());
		},
		warn(message) {
			logger.warn(message);
		},
	});

	function handle(message: LinkMessage, send: (message: LinkMessage) => boolean): void {
		switch (message.type) {
			case 'heartbeat': {
				noteVersion(message.tableVersion);
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
					noteVersion(message.tableVersion);
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
				type: 'hello', protocol: linkProtocol, id: settings.id, role: 'target', availabilityZone: settings.availabilityZone, incarnation, tableVersion,
			}),
			clock,
			random: Math.random,
			log(message) {
				logger.info(`maps: ${message}`);
			},
		});

	const listener = await listenLink({
		address: settings.address,
		port: settings.linkPort,
		key: settings.link.key,
		maximumFrameBytes: settings.link.maximumFrameBytes,
		meter: metrics.meterLink,
		onConnection(connection) {
			links.accept(connection);
		},
		onRejection(reason) {
			logger.warn(`peer turned away: ${reason}`);
		},
	});
	const getStatus: RunningTarget['getStatus'] = () => ({
		id: settings.id, service: settings.service, state: lifecycle.state, incarnation, tableVersion, load: describeLoad(), links: links.size,
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
		requests.tick(clock());
	}, tickMs);
	const reporter = setInterval(() => {
		metrics.measureControlCpu(() => {
			links.broadcast({type: 'load', load: describeLoad(), tableVersion});
		});
	}, reportMs);

	async function close(): Promise<void> {
		member?.close();
		clearInterval(ticker);
		clearInterval(reporter);
		// The last parts of answers leave before the links do.
		await listener.drain(closeMs);
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
			clearTimeout(stopTimer);
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
