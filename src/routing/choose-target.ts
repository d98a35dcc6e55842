import {type Candidate} from './candidate.js';
import {estimateCost} from './estimate-cost.js';
import {mixHashes} from './mix-hashes.js';
import {type RoutingRequest} from './routing-request.js';

/** Targets drawn at random for a comparison; two already prevent most entries with stale reports from choosing the same. */
const sampleSize = 2;
/** Load up to which the target preferred for a prefix is used, as a share of its concurrency. */
const maximumAffinityLoad = 0.9;

/**
 * Chooses the target of a request.
 *
 * Prompts with the same prefix go to the same target, by rendezvous hashing, while it has capacity: its engine has the
 * prefix cached. Otherwise the cheapest of a few random targets is chosen: load reports are stale, so choosing the
 * cheapest of all would make every entry choose the same one.
 *
 * @returns undefined when there is no candidate
 */
export function chooseTarget(candidates: readonly Candidate[], request: RoutingRequest): Candidate | undefined {
	if (candidates.length === 0) {
		return undefined;
	}

	if (request.prefixHash !== undefined) {
		const preferred = findPreferred(candidates, request.prefixHash);
		if (preferred.running + preferred.waiting + preferred.sentSinceReport < preferred.concurrency * maximumAffinityLoad) {
			return preferred;
		}
	}

	return findCheapest(drawSample(candidates, request.random));
}

function findPreferred(candidates: readonly Candidate[], prefixHash: number): Candidate {
	let preferred = candidates[0];
	let highest = -1;
	for (const candidate of candidates) {
		const score = mixHashes(prefixHash, candidate.hash);
		if (score > highest) {
			highest = score;
			preferred = candidate;
		}
	}

	return preferred;
}

function drawSample(candidates: readonly Candidate[], random: () => number): Candidate[] {
	return Array.from({length: sampleSize}, () => candidates[Math.floor(random() * candidates.length)]);
}

function findCheapest(candidates: readonly Candidate[]): Candidate {
	let cheapest = candidates[0];
	let lowest = Number.POSITIVE_INFINITY;
	for (const candidate of candidates) {
		const cost = estimateCost(candidate);
		if (cost < lowest) {
			lowest = cost;
			cheapest = candidate;
		}
	}

	return cheapest;
}
