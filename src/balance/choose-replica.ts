import {type Target} from '../fleet/target.js';
import {type BreakerState} from './breaker-state.js';

type ChoiceOptions = {
	readonly targets: readonly Target[];
	/** Targets that the request was sent to already. */
	readonly excluded: ReadonlySet<string>;
	readonly availabilityZone: string;
	/** Requests in flight at a target over all entries. */
	readonly countInFlight: (target: string) => number;
	readonly getBreakerState: (target: string) => BreakerState;
	/** When a target last began to answer, milliseconds; undefined when it never has. */
	readonly getServedAt: (target: string) => number | undefined;
	/** Share of a target's recent requests that failed. */
	readonly getFailureRate: (target: string) => number;
	/** Recent time for a whole answer, milliseconds; 0 when none is known. */
	readonly getLatencyMs: (target: string) => number;
	/** Requests beyond a target's slots that may wait at it. */
	readonly queueLength: number;
	/** Whether the request was sent to a target before: it goes where others have lately been served. */
	readonly isRetry: boolean;
	/** Whether this request may be the one that sees whether a doubtful target takes requests again. */
	readonly mayProbe: () => boolean;
	readonly random: () => number;
};

type Chosen = {readonly kind: 'chosen'; readonly target: Target};
/** Every target has as much as it may have. */
type Full = {readonly kind: 'full'};
/** There is no target that could be asked. */
type None = {readonly kind: 'none'};
type Choice = Chosen | Full | None;

/** A target in another zone counts as this much fuller, in slots' share: only near ties stay in the zone. */
const remoteZonePenalty = 0.06;
/** A target that always fails counts as this much fuller than one that never does, in slots' share. */
const failurePenalty = 2;
/** A target that takes twice as long as the fastest counts as this much fuller, in slots' share. */
const latencyPenalty = 0.5;
/** Near ties are broken at random within this share of the slots, so that entries do not all pick the same target. */
const tieBreakShare = 0.05;

/**
 * Chooses the target with the most room, seen over all entries, and tells full from absent. One that has lately refused looks the
 * emptiest, and gets a request now and then only; one that is left alone, none while there is another.
 */
export function chooseReplica(options: ChoiceOptions): Choice {
	const open = options.targets.filter(({id}) => !options.excluded.has(id));
	if (open.length === 0) {
		return {kind: 'none'};
	}

	const states = new Map(open.map(target => [target, options.getBreakerState(target.id)]));
	const sound = open.filter(target => states.get(target) === 'sound');
	const doubtful = open.filter(target => states.get(target) === 'doubtful');
	const isProbe = doubtful.length > 0 && options.mayProbe();
	const isAnyReachable = sound.length + doubtful.length > 0;
	const target = (isProbe ? findLeastLoaded(doubtful, options) : undefined)
		?? (options.isRetry ? findMostRecentlyServing(sound, options) : undefined)
		?? findLeastLoaded(sound, options)
		?? findLeastLoaded(isAnyReachable ? doubtful : open, options);
	return target ? {kind: 'chosen', target} : {kind: 'full'};
}

const hasRoom = ({id, slots}: Target, {countInFlight: count, queueLength}: ChoiceOptions): boolean => count(id) < slots + queueLength;

/*
 * What one target refused, another may refuse as well: the one that began to answer last is least likely to.
 */
function findMostRecentlyServing(targets: readonly Target[], options: ChoiceOptions): Target | undefined {
	const serving = targets.filter(target => options.getServedAt(target.id) !== undefined && hasRoom(target, options));
	return serving.toSorted((one, other) => options.getServedAt(other.id)! - options.getServedAt(one.id)!).at(0);
}

function findLeastLoaded(targets: readonly Target[], options: ChoiceOptions): Target | undefined {
	const fastest = findFastest(targets, options.getLatencyMs);
	let best: Target | undefined;
	let bestScore = Number.POSITIVE_INFINITY;
	for (const target of targets) {
		if (!hasRoom(target, options)) {
			continue;
		}

		const score = (options.countInFlight(target.id) / target.slots) + getPenalty(target, fastest, options) + (options.random() * tieBreakShare);
		if (score < bestScore) {
			best = target;
			bestScore = score;
		}
	}

	return best;
}

function findFastest(targets: readonly Target[], getLatency: (target: string) => number): number {
	let fastest = Number.POSITIVE_INFINITY;
	for (const {id} of targets) {
		const latencyMs = getLatency(id);
		if (latencyMs > 0) {
			fastest = Math.min(fastest, latencyMs);
		}
	}

	return fastest;
}

/* How much fuller a target counts than it is, for what is known against it. */
function getPenalty(target: Target, fastestMs: number, options: ChoiceOptions): number {
	const zone = target.availabilityZone === options.availabilityZone ? 0 : remoteZonePenalty;
	const failures = failurePenalty * options.getFailureRate(target.id);
	const latencyMs = options.getLatencyMs(target.id);
	const slowness = latencyMs > fastestMs ? latencyPenalty * Math.log2(latencyMs / fastestMs) : 0;
	return zone + failures + slowness;
}
