import {type LoadBoard} from '../balance/load-board.js';
import {type TargetHealth} from '../balance/target-health.js';
import {getUnit} from '../fleet/get-unit.js';
import {type Target} from '../fleet/target.js';

type WatchOptions = {
	readonly board: LoadBoard;
	readonly health: TargetHealth;
	readonly clock: () => number;
	readonly log: (message: string) => void;
	/** Told of a group, or a service whose groups are not known, that has stopped as a whole. */
	readonly onStopped: (unit: string) => void;
	/** Told of a target at which a connection has gone silent: others to it, idle until then, may have as well. */
	readonly onSilentConnection: (target: string) => void;
};

/** A request at a target, as far as the watch needs to know it. */
type Watched = {
	readonly target: Target;
	readonly abort: AbortController;
	/** Whether its caller has yet to read what was sent, so that nothing is asked of the target meanwhile. */
	readonly isWaitingForCaller: () => boolean;
	/** When the target sent something for it; undefined before the first. */
	progressAt: number | undefined;
};

type Watch = {
	/** Notes that the target sent something for the request. */
	noteProgress(): void;
	stop(): void;
};

/** A target that sends nothing for so long, while others of its service do, is taken for dead, milliseconds. */
const silentMs = 900;
/** Another target of the service counts as alive if it sent something within this time, milliseconds. */
const aliveMs = 250;
/**
 * A group or service of which nothing came for so long, on any of several streams under way, has stopped, milliseconds. Passes
 * of a group take 35 to 60 ms, and a change of its map up to 150.
 */
const stoppedMs = 500;
/** A slow service is not a stopped one: it has stopped after this many of its usual times between two events. */
const usualGaps = 4;
/** Weight of the newest time between two events of a stream in its service's usual one. */
const newestWeight = 0.1;
/** Streams under way that it takes to tell a stopped service from a slow answer. */
const leastStreams = 3;

/** Ends requests at targets, or on connections, that have gone silent alone, so that they can go on elsewhere. */
export class StallDetector {
	/** Since when each service has been seen at work without a break. */
	private readonly activeSince = new Map<string, number>();
	private readonly watched = new Set<Watched>();
	/** Usual time between two events of a stream, by group or service, milliseconds. */
	private readonly gaps = new Map<string, number>();

	constructor(private readonly options: WatchOptions) {}

	/** Watches a request at a target until it is stopped. */
	watch(request: Pick<Watched, 'target' | 'abort' | 'isWaitingForCaller'>): Watch {
		const watched: Watched = {...request, progressAt: undefined};
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

	/** Looks at every watched request. */
	tick(): void {
		const now = this.options.clock();
		this.noteActive(now);
		this.tellStopped(now);
		for (const watched of this.watched) {
			if (watched.isWaitingForCaller()) {
				watched.progressAt &&= now;
			} else if (this.isTargetSilent(watched.target, now)) {
				this.endAtTarget(watched, now);
			} else if (this.isConnectionSilent(watched, now)) {
				this.endOnConnection(watched, now);
			}
		}
	}

	private noteProgress(watched: Watched): void {
		const now = this.options.clock();
		const {target, progressAt} = watched;
		if (progressAt !== undefined) {
			const unit = getUnit(target);
			const usualMs = this.gaps.get(unit) ?? 0;
			this.gaps.set(unit, usualMs + (((now - progressAt) - usualMs) * newestWeight));
		}

		watched.progressAt = now;
	}

	private noteActive(now: number): void {
		const alive = new Set<string>();
		for (const {target: {id, service}} of this.watched) {
			if (this.options.board.getSilence(id, now) < aliveMs) {
				alive.add(service);
			}
		}

		for (const service of this.activeSince.keys()) {
			if (!alive.has(service)) {
				this.activeSince.delete(service);
			}
		}

		for (const service of alive) {
			this.activeSince.set(service, this.activeSince.get(service) ?? now);
		}
	}

	/* What is sent to a stopped service waits until it is refused, or its caller leaves. */
	private tellStopped(now: number): void {
		const units = new Map<string, number[]>();
		for (const {target, progressAt, isWaitingForCaller: isHeldUp} of this.watched) {
			if (progressAt !== undefined && !isHeldUp()) {
				const unit = getUnit(target);
				units.set(unit, [...units.get(unit) ?? [], progressAt]);
			}
		}

		for (const [unit, moments] of units) {
			const limitMs = Math.max(stoppedMs, usualGaps * (this.gaps.get(unit) ?? 0));
			if (moments.length >= leastStreams && now - Math.max(...moments) > limitMs) {
				this.options.onStopped(unit);
			}
		}
	}

	/* A group that stops as a whole, and then goes on, is silent at every target: none of them is to blame. */
	private isTargetSilent({id, service}: Target, now: number): boolean {
		const activeMs = now - (this.activeSince.get(service) ?? now);
		return this.options.board.getSilence(id, now) > silentMs && activeMs > silentMs;
	}

	/* A target that has begun an answer goes on with all of its answers together; a connection can be lost alone. */
	private isConnectionSilent({target, progressAt}: Watched, now: number): boolean {
		return progressAt !== undefined && now - progressAt > silentMs && this.options.board.getSilence(target.id, now) < aliveMs;
	}

	private endAtTarget({target, abort}: Watched, now: number): void {
		const {board, health, log} = this.options;
		log(`target ${target.id} of ${target.service} silent for ${Math.round(board.getSilence(target.id, now))} ms while others answer`);
		health.avoid(target.id, now);
		abort.abort('the target has gone silent');
	}

	private endOnConnection({target, abort, progressAt}: Watched, now: number): void {
		const {log, onSilentConnection} = this.options;
		log(`a connection to target ${target.id} of ${target.service} silent for ${Math.round(now - progressAt!)} ms while others go on`);
		onSilentConnection(target.id);
		abort.abort('the connection has gone silent');
	}
}
