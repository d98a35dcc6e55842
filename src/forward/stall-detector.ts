import {type InFlightCounts} from '../balance/in-flight-counts.js';
import {type TargetHealth} from '../balance/target-health.js';
import {getFailureDomain} from '../fleet/get-failure-domain.js';
import {type Target} from '../fleet/target.js';
import {findSilenceStart} from './find-silence-start.js';
import {silentConnectionReason} from './silent-connection-reason.js';

type DetectorOptions = {
	readonly inFlightCounts: InFlightCounts;
	readonly health: TargetHealth;
	readonly clock: () => number;
	readonly log: (message: string) => void;
	/** Called with a group (or a service whose groups are not known) that has stopped as a whole. */
	readonly onStopped: (failureDomain: string) => void;
	/** Called with a target of which one connection has stalled: idle connections to it may be lost as well. */
	readonly onSilentConnection: (target: string) => void;
	/** Called with the failure domain that is known to run although none of its streams made progress. */
	readonly onRunning?: (failureDomain: string) => void;
	/** Called when connections that last proved to work before `before`, milliseconds, may be silent. */
	readonly onSuspicion?: (before: number) => void;
	/** Called when connections have gone silent: others of this process may be silent as well. */
	readonly onSilence?: (reason: string) => void;
	/** When a report was last received from any peer, milliseconds; undefined if too few peers are connected to judge by their silence. */
	readonly getLastReportAt?: () => number | undefined;
};

/** A request in flight at a target. */
type WatchedRequest = {
	readonly target: Target;
	/** Ends the attempt if the request can be sent to another target now; returns false otherwise, and the attempt goes on. */
	readonly move: (reason: string) => boolean;
	/** Whether the request was moved to this target because an earlier one was silent. */
	readonly hasMoved: boolean;
	/** Whether the caller has yet to read what was sent (backpressure), so that nothing is read from the target meanwhile. */
	readonly isWaitingForCaller: () => boolean;
	readonly startedAt: number;
	/** When the target last sent something for it, milliseconds; undefined before the first time. */
	progressAt: number | undefined;
	/** When its connection last proved to work, milliseconds; undefined before it has one. */
	aliveAt: number | undefined;
	/** Why the request is to be moved as soon as that is possible; undefined unless its target or connection has gone silent. */
	silence: string | undefined;
};

/** A stream that has begun, by its target, and its last progress, milliseconds. */
type RunningStream = {readonly target: string; readonly progressAt: number};

type Watch = {
	/** Notes when the connection that was taken for the request last proved to work, milliseconds. */
	noteConnection(aliveAt: number): void;
	/** Notes that the target sent something for the request. */
	noteProgress(): void;
	/** Ends the watch. */
	stop(): void;
};

/** A target that sends nothing for this time while others of its service do is considered stalled, milliseconds. */
const stallTimeoutMs = 900;
/** A target that sent something within this time counts as active, milliseconds. */
const activeWindowMs = 250;
/**
 * A group or service that sent nothing for this time on any of its streams has stopped, milliseconds. Passes of a group
 * take 35 to 60 ms, a change of its expert map up to 150 ms.
 */
const failureDomainStallTimeoutMs = 500;
/** For a slow group or service the timeout is longer: this many times its mean gap between two events. */
const stallGapFactor = 4;
/** Weight of the newest gap between two events in the moving average. */
const gapWeight = 0.1;
/** A group or service of which no stream made progress for this share of its timeout gets requests on new connections only. */
const suspicionShare = 0.4;
/** Streams that stand still for this time, at several targets at once, while others of their group go on, are on silent connections, milliseconds. */
const silenceTimeoutMs = 350;
/** A group that has sent something on some stream for this time without interruption runs, milliseconds. */
const steadyMs = 200;
/** A peer's report that a group is active proves that it runs if it arrives this long after the own last progress, milliseconds. */
const peerActivityMs = 350;
/** Connections that worked until this time after the last progress of silent ones may be silent as well, milliseconds. */
const silenceMarginMs = 100;
/** A request that has waited less is not moved as silent, milliseconds: most are answered sooner. */
const minimumWaitMs = 200;
/**
 * Silence of a request that was moved before, milliseconds, after which it is moved again while others of its service make progress. A
 * target that is short of memory lets its newest request wait, and a moved request is the newest; callers leave after two seconds.
 */
const movedSilenceTimeoutMs = 1500;
/** A process whose checks did not run for this time was paused, milliseconds. */
const pauseMs = 300;
/** Time after a pause within which the process reads what was sent meanwhile, milliseconds: until then, streams seem to stand still. */
const catchUpMs = 300;
/** Streams needed to distinguish a stopped service from slow answers. */
const minimumStreams = 3;

/** Progress of a group or service on any stream: since when without interruption, and the last one, milliseconds. */
type Activity = {since: number; last: number};

/**
 * Moves requests whose target or connection has stalled while others make progress. Silence alone ends no request: one that cannot be
 * sent to another target goes on where it is, and is moved as soon as that is possible.
 */
export class StallDetector {
	/** By service, since when it has been active without interruption, milliseconds. */
	private readonly activeSince = new Map<string, number>();
	private readonly watched = new Set<WatchedRequest>();
	/** By group or service, moving average of the gap between two events of a stream, milliseconds. */
	private readonly meanGaps = new Map<string, number>();
	/** By group or service. */
	private readonly activities = new Map<string, Activity>();
	/** By group or service, when a peer last reported it as active, milliseconds. */
	private readonly peerActivityAt = new Map<string, number>();
	/** When the checks last ran, and when they last resumed after a pause of this process, milliseconds. */
	private checkedAt: number | undefined;
	private resumedAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: DetectorOptions) {}

	/** Starts to watch a request; the result stops the watch. */
	watch(request: Pick<WatchedRequest, 'target' | 'move' | 'hasMoved' | 'isWaitingForCaller'>): Watch {
		const watched: WatchedRequest = {
			...request, startedAt: this.options.clock(), progressAt: undefined, aliveAt: undefined, silence: undefined,
		};
		this.watched.add(watched);
		return {
			noteConnection(aliveAt) {
				watched.aliveAt = aliveAt;
			},
			noteProgress: () => {
				this.noteProgress(watched);
			},
			stop: () => {
				this.watched.delete(watched);
			},
		};
	}

	/** Checks all watched requests. */
	tick(): void {
		const now = this.options.clock();
		this.notePause(now);
		this.updateActive(now);
		if (this.isCatchingUp) {
			return;
		}

		const heldTargets = new Set([...this.watched].filter(({silence}) => silence !== undefined).map(({target}) => target.id));
		this.checkFailureDomains(now);
		for (const watched of this.watched) {
			if (watched.isWaitingForCaller()) {
				watched.progressAt &&= now;
			} else if (watched.silence !== undefined) {
				watched.move(watched.silence);
			} else if (this.isTargetSilent(watched, heldTargets, now)) {
				this.moveFromTarget(watched, now);
			} else if (this.isConnectionSilent(watched, now)) {
				this.moveFromConnection(watched, now);
			}
		}
	}

	/** Groups, or services whose groups are not known, that have made progress within the last moments; `now` in milliseconds. */
	listActive(now: number): string[] {
		return [...this.activities].filter(([, {last}]) => now - last < activeWindowMs).map(([failureDomain]) => failureDomain);
	}

	/** Notes that a peer has reported these groups as active; `now` in milliseconds. */
	notePeerActivity(failureDomains: readonly string[], now: number): void {
		for (const failureDomain of failureDomains) {
			this.peerActivityAt.set(failureDomain, now);
		}
	}

	/** Notes that a link to a peer has been silent since `since`, milliseconds: if all links are, other connections are taken for silent too. */
	noteSilentLink(since: number): void {
		const lastReportAt = this.options.getLastReportAt?.();
		this.notePause(this.options.clock());
		this.options.onSuspicion?.(since);
		if (!this.isCatchingUp && lastReportAt !== undefined && lastReportAt <= since + silenceMarginMs) {
			this.moveSilent(since, 'nothing arrives on the links to peers');
		}
	}

	private get isCatchingUp(): boolean {
		return this.options.clock() - this.resumedAt < catchUpMs;
	}

	private notePause(now: number): void {
		if (this.checkedAt !== undefined && now - this.checkedAt > pauseMs) {
			this.resumedAt = now;
			this.activeSince.clear();
		}

		this.checkedAt = now;
	}

	private noteProgress(watched: WatchedRequest): void {
		const now = this.options.clock();
		const {target, progressAt} = watched;
		const failureDomain = getFailureDomain(target);
		const activity = this.activities.get(failureDomain);
		const isContinued = activity !== undefined && now - activity.last < activeWindowMs;
		this.activities.set(failureDomain, {since: isContinued ? activity.since : now, last: now});
		watched.aliveAt = now;
		if (progressAt !== undefined) {
			const meanGapMs = this.meanGaps.get(failureDomain) ?? 0;
			this.meanGaps.set(failureDomain, meanGapMs + (((now - progressAt) - meanGapMs) * gapWeight));
		}

		watched.progressAt = now;
		watched.silence = undefined;
	}

	private updateActive(now: number): void {
		const active = new Set<string>();
		for (const {target: {id, service}} of this.watched) {
			if (this.options.inFlightCounts.getSilenceMs(id, now) < activeWindowMs) {
				active.add(service);
			}
		}

		for (const service of this.activeSince.keys()) {
			if (!active.has(service)) {
				this.activeSince.delete(service);
			}
		}

		for (const service of active) {
			this.activeSince.set(service, this.activeSince.get(service) ?? now);
		}
	}

	private checkFailureDomains(now: number): void {
		const streams = new Map<string, RunningStream[]>();
		for (const {target, progressAt, silence, isWaitingForCaller} of this.watched) {
			if (progressAt !== undefined && silence === undefined && !isWaitingForCaller()) {
				const failureDomain = getFailureDomain(target);
				streams.set(failureDomain, [...streams.get(failureDomain) ?? [], {target: target.id, progressAt}]);
			}
		}

		for (const [failureDomain, running] of streams) {
			this.checkFailureDomain(failureDomain, running, now);
		}
	}

	private checkFailureDomain(failureDomain: string, streams: readonly RunningStream[], now: number): void {
		const slowMs = stallGapFactor * (this.meanGaps.get(failureDomain) ?? 0);
		const limitMs = Math.max(failureDomainStallTimeoutMs, slowMs);
		const lastProgressAt = Math.max(...streams.map(({progressAt}) => progressAt));
		const stoppedMs = now - lastProgressAt;
		if (this.isSteady(failureDomain, now)) {
			const silentSince = findSilenceStart(streams.filter(({progressAt}) => now - progressAt > Math.max(silenceTimeoutMs, slowMs)));
			if (silentSince !== undefined) {
				this.moveSilent(silentSince, `${failureDomain} makes progress on others`, watched => !this.mayBeDeferred(watched, now));
			}
		} else if (streams.length >= minimumStreams && stoppedMs > limitMs) {
			this.handleStandstill(failureDomain, lastProgressAt);
		} else if (streams.length >= minimumStreams && stoppedMs > suspicionShare * limitMs) {
			this.options.onSuspicion?.(lastProgressAt);
		}
	}

	/* Requests to a stopped group or service would wait until they are refused or their caller disconnects. */
	private handleStandstill(failureDomain: string, lastProgressAt: number): void {
		const evidence = this.findOwnFault(failureDomain, lastProgressAt);
		if (evidence === undefined) {
			this.options.onStopped(failureDomain);
		} else {
			this.options.onRunning?.(failureDomain);
			this.moveSilent(lastProgressAt, evidence);
		}
	}

	/* Streams that all stand still show that their group has stopped, or that the connections of this process have gone silent. */
	private findOwnFault(failureDomain: string, lastProgressAt: number): string | undefined {
		if ((this.peerActivityAt.get(failureDomain) ?? Number.NEGATIVE_INFINITY) > lastProgressAt + peerActivityMs) {
			return `a peer reports that ${failureDomain} is active`;
		}

		const lastReportAt = this.options.getLastReportAt?.();
		const areLinksSilent = lastReportAt !== undefined && lastReportAt <= lastProgressAt + silenceMarginMs;
		return areLinksSilent ? 'nothing arrives on the links to peers either' : undefined;
	}

	private isSteady(failureDomain: string, now: number): boolean {
		const activity = this.activities.get(failureDomain);
		return activity !== undefined && now - activity.last < activeWindowMs && activity.last - activity.since >= steadyMs;
	}

	/* Moves the requests whose connections have not proved to work since `since` to new ones. */
	private moveSilent(since: number, evidence: string, isSuspect: (watched: WatchedRequest) => boolean = () => true): void {
		const now = this.options.clock();
		const before = since + silenceMarginMs;
		this.options.onSuspicion?.(before);
		const unproved = [...this.watched].filter(({aliveAt, startedAt, silence, isWaitingForCaller}) =>
			silence === undefined && aliveAt !== undefined && aliveAt <= before && now - Math.max(startedAt, aliveAt) > minimumWaitMs && !isWaitingForCaller());
		const silent = unproved.filter(watched => isSuspect(watched));
		if (silent.length === 0) {
			return;
		}

		const reason = `${silent.length} requests are on connections silent for ${Math.round(now - since)} ms: ${evidence}`;
		this.options.log(reason);
		this.options.onSilence?.(reason);
		for (const watched of silent) {
			watched.silence = silentConnectionReason;
			watched.move(silentConnectionReason);
		}
	}

	/* Silence of one request among others may be its target's own decision, and is the more likely so after a move. */
	private mayBeDeferred({hasMoved, progressAt, startedAt}: WatchedRequest, now: number): boolean {
		return hasMoved && now - (progressAt ?? startedAt) <= movedSilenceTimeoutMs;
	}

	/*
	 * A group that pauses as a whole is silent at all targets; then no single target has failed. Where a silent request is held, the
	 * target's silence says nothing of a request that was sent later, on another connection.
	 */
	private isTargetSilent(watched: WatchedRequest, heldTargets: ReadonlySet<string>, now: number): boolean {
		const {target: {id, service}, progressAt, startedAt} = watched;
		const activeMs = now - (this.activeSince.get(service) ?? now);
		const isOwn = !heldTargets.has(id) || now - (progressAt ?? startedAt) > stallTimeoutMs;
		return isOwn && !this.mayBeDeferred(watched, now) && this.options.inFlightCounts.getSilenceMs(id, now) > stallTimeoutMs && activeMs > stallTimeoutMs;
	}

	/* A target makes progress on all of its answers together, so a single silent one means a lost connection. */
	private isConnectionSilent(watched: WatchedRequest, now: number): boolean {
		const {target, progressAt} = watched;
		return !this.mayBeDeferred(watched, now) && progressAt !== undefined && now - progressAt > stallTimeoutMs && this.options.inFlightCounts.getSilenceMs(target.id, now) < activeWindowMs;
	}

	private moveFromTarget(watched: WatchedRequest, now: number): void {
		const {target} = watched;
		const {inFlightCounts, health, log} = this.options;
		log(`target ${target.id} of ${target.service} silent for ${Math.round(inFlightCounts.getSilenceMs(target.id, now))} ms while others of its service answer`);
		health.noteUnreachable(target.id, now);
		watched.silence = 'the target has gone silent';
		watched.move(watched.silence);
	}

	private moveFromConnection(watched: WatchedRequest, now: number): void {
		const {target, progressAt} = watched;
		const {log, onSilentConnection} = this.options;
		log(`a connection to target ${target.id} of ${target.service} silent for ${Math.round(now - progressAt!)} ms while others go on`);
		onSilentConnection(target.id);
		watched.silence = 'the connection has gone silent';
		watched.move(watched.silence);
	}
}
