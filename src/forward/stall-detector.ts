import {type InFlightCounts} from '../balance/in-flight-counts.js';
import {type TargetHealth} from '../balance/target-health.js';
import {getFailureDomain} from '../fleet/get-failure-domain.js';
import {type Target} from '../fleet/target.js';

type DetectorOptions = {
	readonly inFlightCounts: InFlightCounts;
	readonly health: TargetHealth;
	readonly clock: () => number;
	readonly log: (message: string) => void;
	/** Called with a group (or a service whose groups are not known) that has stopped as a whole. */
	readonly onStopped: (failureDomain: string) => void;
	/** Called with a target of which one connection has stalled: idle connections to it may be lost as well. */
	readonly onSilentConnection: (target: string) => void;
};

/** A request in flight at a target. */
type WatchedRequest = {
	readonly target: Target;
	readonly abort: AbortController;
	/** Whether the caller has yet to read what was sent (backpressure), so that nothing is read from the target meanwhile. */
	readonly isWaitingForCaller: () => boolean;
	/** When the target last sent something for it, milliseconds; undefined before the first time. */
	progressAt: number | undefined;
};

type Watch = {
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
/** Streams needed to distinguish a stopped service from slow answers. */
const minimumStreams = 3;

/** Aborts requests whose target or connection has stalled while others make progress, so that they can be retried elsewhere. */
export class StallDetector {
	/** By service, since when it has been active without interruption, milliseconds. */
	private readonly activeSince = new Map<string, number>();
	private readonly watched = new Set<WatchedRequest>();
	/** By group or service, moving average of the gap between two events of a stream, milliseconds. */
	private readonly meanGaps = new Map<string, number>();

	constructor(private readonly options: DetectorOptions) {}

	/** Starts to watch a request; the result stops the watch. */
	watch(request: Pick<WatchedRequest, 'target' | 'abort' | 'isWaitingForCaller'>): Watch {
		const watched: WatchedRequest = {...request, progressAt: undefined};
		this.watched.add(watched);
		return {
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
		this.updateActive(now);
		this.detectStoppedUnits(now);
		for (const watched of this.watched) {
			if (watched.isWaitingForCaller()) {
				watched.progressAt &&= now;
			} else if (this.isTargetSilent(watched.target, now)) {
				this.abortAtTarget(watched, now);
			} else if (this.isConnectionSilent(watched, now)) {
				this.abortOnConnection(watched, now);
			}
		}
	}

	private noteProgress(watched: WatchedRequest): void {
		const now = this.options.clock();
		const {target, progressAt} = watched;
		if (progressAt !== undefined) {
			const failureDomain = getFailureDomain(target);
			const meanGapMs = this.meanGaps.get(failureDomain) ?? 0;
			this.meanGaps.set(failureDomain, meanGapMs + (((now - progressAt) - meanGapMs) * gapWeight));
		}

		watched.progressAt = now;
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

	/* Requests to a stopped group or service would wait until they are refused or their caller disconnects. */
	private detectStoppedUnits(now: number): void {
		const failureDomains = new Map<string, number[]>();
		for (const {target, progressAt, isWaitingForCaller} of this.watched) {
			if (progressAt !== undefined && !isWaitingForCaller()) {
				const failureDomain = getFailureDomain(target);
				failureDomains.set(failureDomain, [...failureDomains.get(failureDomain) ?? [], progressAt]);
			}
		}

		for (const [failureDomain, times] of failureDomains) {
			const limitMs = Math.max(failureDomainStallTimeoutMs, stallGapFactor * (this.meanGaps.get(failureDomain) ?? 0));
			if (times.length >= minimumStreams && now - Math.max(...times) > limitMs) {
				this.options.onStopped(failureDomain);
			}
		}
	}

	/* A group that pauses as a whole is silent at all targets; then no single target has failed. */
	private isTargetSilent({id, service}: Target, now: number): boolean {
		const activeMs = now - (this.activeSince.get(service) ?? now);
		return this.options.inFlightCounts.getSilenceMs(id, now) > stallTimeoutMs && activeMs > stallTimeoutMs;
	}

	/* A target makes progress on all of its answers together, so a single silent one means a lost connection. */
	private isConnectionSilent({target, progressAt}: WatchedRequest, now: number): boolean {
		return progressAt !== undefined && now - progressAt > stallTimeoutMs && this.options.inFlightCounts.getSilenceMs(target.id, now) < activeWindowMs;
	}

	private abortAtTarget({target, abort}: WatchedRequest, now: number): void {
		const {inFlightCounts, health, log} = this.options;
		log(`target ${target.id} of ${target.service} silent for ${Math.round(inFlightCounts.getSilenceMs(target.id, now))} ms while others of its service answer`);
		health.noteUnreachable(target.id, now);
		abort.abort('the target has gone silent');
	}

	private abortOnConnection({target, abort, progressAt}: WatchedRequest, now: number): void {
		const {log, onSilentConnection} = this.options;
		log(`a connection to target ${target.id} of ${target.service} silent for ${Math.round(now - progressAt!)} ms while others go on`);
		onSilentConnection(target.id);
		abort.abort('the connection has gone silent');
	}
}
