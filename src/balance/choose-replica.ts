import {type Target} from '../fleet/target.js';
import {type BreakerState} from './breaker-state.js';

type ChoiceOptions = {
	readonly targets: readonly Target[];
	/** Ids of targets that this request has already been sent to. */
	readonly excluded: ReadonlySet<string>;
	readonly availabilityZone: string;
	/** Requests in flight at a target, summed over all entries. */
	readonly countInFlight: (target: string) => number;
	readonly getBreakerState: (target: string) => BreakerState;
	/** Time at which a target last began to answer a request successfully, milliseconds; undefined if it never has. */
	readonly getServedAt: (target: string) => number | undefined;
	/** Share of a target's recent requests that failed, 0 to 1. */
	readonly getFailureRate: (target: string) => number;
	/** Recent time for a complete answer, milliseconds; 0 when unknown. */
	readonly getLatencyMs: (target: string) => number;
	/** Requests that may be queued at a target beyond its slots. */
	readonly queueLength: number;
	/** Whether the request is a retry; a retry prefers the target that most recently served a request. */
	readonly isRetry: boolean;
	/** Takes a probe from the budget: whether this request may probe a doubtful target. */
	readonly mayProbe: () => boolean;
	readonly random: () => number;
};

type Chosen = {readonly kind: 'chosen'; readonly target: Target};
/** Every target is at its limit of running and queued requests. */
type Full = {readonly kind: 'full'};
/** No target is left to try. */
type None = {readonly kind: 'none'};
type Choice = Chosen | Full | None;

/** Score added for a target in another availability zone, as a share of its slots. Small, so that the own zone only decides near ties. */
const remoteZonePenalty = 0.06;
/** Score added for a target that fails every request, as a share of its slots; proportional to the failure rate. */
const failurePenalty = 2;
/** Score added for each doubling of latency over the fastest target, as a share of its slots. */
const latencyPenalty = 0.5;
/** Range of the random score, as a share of the slots: breaks near ties so that entries do not all choose the same target. */
const tieBreakShare = 0.05;

/**
 * Chooses the least loaded target, by the load over all entries. The result distinguishes "all targets are full" from "no target".
 *
 * A doubtful target has recently refused requests, so it appears the least loaded: it gets probes, and other requests only if no
 * sound target has capacity. An avoided target is used only if all targets are avoided.
 */
export function chooseReplica(options: ChoiceOptions): Choice {
	const candidates = options.targets.filter(({id}) => !options.excluded.has(id));
	if (candidates.length === 0) {
		return {kind: 'none'};
	}

	const states = new Map(candidates.map(target => [target, options.getBreakerState(target.id)]));
	const sound = candidates.filter(target => states.get(target) === 'sound');
	const doubtful = candidates.filter(target => states.get(target) === 'doubtful');
	const isProbe = doubtful.length > 0 && options.mayProbe();
	const isAnyReachable = sound.length + doubtful.length > 0;
	const target = (isProbe ? findLeastLoaded(doubtful, options) : undefined)
		?? (options.isRetry ? findMostRecentlyServing(sound, options) : undefined)
		?? findLeastLoaded(sound, options)
		?? findLeastLoaded(isAnyReachable ? doubtful : candidates, options);
	return target ? {kind: 'chosen', target} : {kind: 'full'};
}

const hasCapacity = ({id, slots}: Target, {countInFlight, queueLength}: ChoiceOptions): boolean => countInFlight(id) < slots + queueLength;

/* The cause of a refusal may apply to other targets as well; the target that most recently began to answer is the least likely to refuse. */
function findMostRecentlyServing(targets: readonly Target[], options: ChoiceOptions): Target | undefined {
	const serving = targets.filter(target => options.getServedAt(target.id) !== undefined && hasCapacity(target, options));
	return serving.toSorted((one, other) => options.getServedAt(other.id)! - options.getServedAt(one.id)!).at(0);
}

function findLeastLoaded(targets: readonly Target[], options: ChoiceOptions): Target | undefined {
	const fastest = findFastest(targets, options.getLatencyMs);
	let best: Target | undefined;
	let bestScore = Number.POSITIVE_INFINITY;
	for (const target of targets) {
		if (!hasCapacity(target, options)) {
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

function findFastest(targets: readonly Target[], getLatencyMs: (target: string) => number): number {
	let fastest = Number.POSITIVE_INFINITY;
	for (const {id} of targets) {
		const latencyMs = getLatencyMs(id);
		if (latencyMs > 0) {
			fastest = Math.min(fastest, latencyMs);
		}
	}

	return fastest;
}

/* Score added to a target's load for its zone, failures and latency. */
function getPenalty(target: Target, fastestMs: number, options: ChoiceOptions): number {
	const zone = target.availabilityZone === options.availabilityZone ? 0 : remoteZonePenalty;
	const failures = failurePenalty * options.getFailureRate(target.id);
	const latencyMs = options.getLatencyMs(target.id);
	const latency = latencyMs > fastestMs ? latencyPenalty * Math.log2(latencyMs / fastestMs) : 0;
	return zone + failures + latency;
}
