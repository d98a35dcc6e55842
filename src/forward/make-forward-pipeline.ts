import {EntryCount} from '../balance/entry-count.js';
import {InFlightCounts} from '../balance/in-flight-counts.js';
import {ProbeBudget} from '../balance/probe-budget.js';
import {SharedRetryBudget} from '../balance/shared-retry-budget.js';
import {ServiceBreaker} from '../balance/service-breaker.js';
import {GracePeriod} from '../callers/grace-period.js';
import {type ForwardEntrySettings} from '../config/forward-entry-settings.js';
import {type Service} from '../fleet/service.js';
import {getFailureDomain} from '../fleet/get-failure-domain.js';
import {type EntryDigest} from '../mesh/entry-digest.js';
import {rankByRendezvous} from '../routing/rank-by-rendezvous.js';
import {CrashDetector} from './crash-detector.js';
import {ForwardDispatcher} from './forward-dispatcher.js';
import {type ForwardDependencies} from './forward-dependencies.js';
import {StallDetector} from './stall-detector.js';
import {StopAdmission} from './stop-admission.js';
import {StreamAdmission} from './stream-admission.js';
import {TargetTracker} from './target-tracker.js';
import {type TargetTransport} from './target-transport.js';
import {type TransportListener} from './transport-listener.js';

type TrackerOptions = ConstructorParameters<typeof TargetTracker>[0];

type PipelineOptions = Pick<ForwardEntrySettings, 'availabilityZone' | 'repeats'> & Pick<ForwardDependencies, 'clock' | 'random'> & Omit<TrackerOptions, 'countInFlight' | 'electEntry'> & {
	/** Link address of this entry; peers are identified by theirs. */
	readonly address: string;
	/** Opens the transport to targets; the listener is notified of what they send. */
	readonly openTransport: (listener: TransportListener) => TargetTransport;
	/** The time that a planned stop of this process leaves. */
	readonly grace?: GracePeriod;
	/** Returns the configuration of a service; undefined while it is not known. */
	readonly getService: (name: string) => Service | undefined;
	/** Whether all entries have started for the first time. */
	readonly isNewFleet: () => boolean;
	/** Called when the number of this entry's requests in flight changes. */
	readonly onLoadChange: () => void;
	/** Called when there is something that peers must be notified of at once. */
	readonly onUrgentReport: () => void;
	/** Called with the target for each crash in which this entry has lost requests. */
	readonly onCrash: (target: string) => void;
	/** Called with each retry that the retry budget does not allow. */
	readonly onRetryRefusal: (service: string) => void;
	/** Called when connections to targets have gone silent: others of this process may be silent as well. */
	readonly onSilence?: (reason: string) => void;
	/** When a report was last received from any peer, milliseconds; undefined if too few peers are connected to judge by their silence. */
	readonly getLastReportAt?: () => number | undefined;
	/** Called for each attempt. */
	readonly onSend: (service: string, isRetry: boolean) => void;
};

type ForwardPipeline = {
	readonly inFlightCounts: InFlightCounts;
	readonly tracker: TargetTracker;
	readonly dispatcher: ForwardDispatcher;
	readonly crashes: CrashDetector;
	readonly stops: StopAdmission;
	/** Returns the digest to send to peers; the whole one for a peer that may not have received any yet. */
	getDigest(isFull: boolean, now: number): EntryDigest;
	/** Merges a peer's digest; `isSameZone` says whether the peer is in the same availability zone. */
	mergeDigest(peer: string, digest: EntryDigest, isSameZone: boolean, now: number): void;
	/** Runs the periodic checks for stalls and expired state. */
	tick(): void;
	/** Closes the connections and drops the state of a target that takes no more requests. */
	removeTarget(target: string): void;
	/** Closes the connections and resets the state of a target that has restarted. */
	resetTarget(target: string): void;
	/** Notes that a link to a peer has been silent since `since`, milliseconds. */
	noteSilentLink(since: number): void;
	/** Notes that a group has been formed again, so that requests may go to it. */
	noteGroupFormed(failureDomain: string): void;
	close(): void;
};

/** Creates the components that send a request to a target: choice of target, admission, retry budget, transport, stall and crash detection. */
export function makeForwardPipeline(options: PipelineOptions): ForwardPipeline {
	const {availabilityZone, repeats, openTransport, clock, random, countRegistered, isNewFleet, getService, log, address, listPeers} = options;
	const {onLoadChange, onUrgentReport, onCrash, onRetryRefusal, onSend, onSilence, getLastReportAt} = options;
	const inFlightCounts = new InFlightCounts(onLoadChange);
	const electEntry = (key: string, now: number): string => rankByRendezvous(key, [address, ...listPeers(now)])[0];
	const tracker = new TargetTracker({...options, electEntry, countInFlight: target => inFlightCounts.count(target, clock())});
	const {directory, health} = tracker;
	const serviceBreaker = new ServiceBreaker(log);
	const admission = new StreamAdmission({
		inFlightCounts,
		listAvailable: (service, now) => tracker.listAvailable(service, now),
		isHealthy: ({id}, now) => tracker.getBreakerState(id, now) === 'sound',
		getService,
	});
	const stalls = new StallDetector({
		inFlightCounts,
		health,
		clock,
		log,
		onStopped(failureDomain) {
			const now = clock();
			// The first request after that goes out on a new connection, and shows whether the group or the connections have stopped.
			if (serviceBreaker.noteDown(failureDomain, now, 'none of its streams makes progress')) {
				serviceBreaker.allowNextProbe(failureDomain, now);
			}
		},
		onRunning(failureDomain) {
			serviceBreaker.noteRunning(failureDomain, clock());
		},
		onSuspicion(before) {
			transport.retire(before);
		},
		onSilence,
		getLastReportAt,
		onSilentConnection(target) {
			transport.drop(target);
		},
	});
	const transport: TargetTransport = openTransport({
		onHead(target, metadata, sentAt) {
			tracker.noteAnswerHead({target, metadata, sentAt}, clock());
		},
		onProgress(target) {
			const now = clock();
			inFlightCounts.noteProgress(target.id, now);
			serviceBreaker.noteRunning(getFailureDomain(target), now);
		},
		onGap(target, gapMs) {
			admission.noteGap(target, gapMs);
		},
	});
	const crashes = new CrashDetector({
		check: async target => transport.check(target),
		health,
		isElected: (subject, now) => electEntry(subject, now) === address,
		onCrash(id) {
			// All ranks of a group stop with one of them; callers need not wait until their requests are given up.
			const target = directory.get(id);
			if (target?.group !== undefined) {
				serviceBreaker.noteDown(getFailureDomain(target), clock(), `target ${id} has crashed`);
			}
		},
		onUrgentReport,
		onLoss: onCrash,
		clock,
		log,
	});
	const entryCount = new EntryCount(now => Math.max(inFlightCounts.countLivePeers(now) + 1, countRegistered()));
	const stops = new StopAdmission(options.grace ?? new GracePeriod());
	const dispatcher = new ForwardDispatcher({
		send: async sendOptions => transport.send(sendOptions),
		tracker,
		crashes,
		inFlightCounts,
		serviceBreaker,
		probes: new ProbeBudget(),
		retryBudget: new SharedRetryBudget({
			...repeats,
			countEntries: now => entryCount.get(now),
			startedAt: clock(),
			isNewFleet,
			onRefusal: onRetryRefusal,
			log,
		}),
		stalls,
		stops,
		admission,
		availabilityZone,
		clock,
		random,
		countRegistered,
		onSend,
		log,
	});

	return {
		inFlightCounts,
		tracker,
		dispatcher,
		crashes,
		stops,
		getDigest(isFull, now) {
			const active = stalls.listActive(now);
			return {
				...tracker.getDigest(now),
				...crashes.getDigest(isFull, now),
				...(isFull && {entries: entryCount.getDigest(now)}),
				...(active.length > 0 && {active}),
			};
		},
		mergeDigest(peer, digest, isSameZone, now) {
			tracker.mergeDigest(peer, digest, isSameZone, now);
			crashes.merge(digest, now);
			stalls.notePeerActivity(digest.active ?? [], now);
			if (digest.entries) {
				entryCount.merge(digest.entries, now);
			}
		},
		tick() {
			const now = clock();
			crashes.tick(now);
			stalls.tick();
			stops.tick(now);
			tracker.tick(now);
			admission.tick(now);
		},
		removeTarget(target) {
			transport.drop(target);
			inFlightCounts.prune(id => directory.get(id) !== undefined);
			tracker.prune();
		},
		resetTarget(target) {
			transport.drop(target);
			tracker.resetTarget(target);
			crashes.noteRestart(target);
		},
		noteSilentLink(since) {
			stalls.noteSilentLink(since);
		},
		noteGroupFormed(failureDomain) {
			serviceBreaker.noteRunning(failureDomain, clock());
		},
		close() {
			transport.close();
		},
	};
}
