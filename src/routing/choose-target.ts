import {type Candidate} from './candidate.js';
import {estimateCost} from './estimate-cost.js';
import {mixHashes} from './mix-hashes.js';
import {type RoutingRequest} from './routing-request.js';

/** Targets that are compared at random; two already avoid most collisions of entries with old reports. */
const samples = 2;
/** Room that the prefix's target must have, as a share of its concurrency. */
const affinityBound = 0.9;

/**
 * Chooses the target of a request.
 *
 * A prompt goes where prompts with its beginning go, by rendezvous hashing, as long as that target has room; its
 * engine then still holds the prefix. Otherwise the cheapest of a few targets drawn at random is taken: with load
 * reports that lag, taking the cheapest of all would send every entry to the same one.
 *
 * @returns undefined when there is no candidate
 */
export function chooseTarget(candidates: readonly Candidate[], request: RoutingRequest): Candidate | undefined {
	if (candidates.length === 0) {
		return undefined;
	}

	if (request.prefixHash !== undefined) {
		const home = findHome(candidates, request.prefixHash);
		if (home.running + home.waiting + home.sentSinceReport < home.concurrency * affinityBound) {
			return home;
		}
	}

	return findCheapest(draw(candidates, request.random));
}

function findHome(candidates: readonly Candidate[], prefixHash: number): Candidate {
	let home = candidates[0];
	let highest = -1;
	for (const candidate of candidates) {
		const score = mixHashes(prefixHash, candidate.hash);
		if (score > highest) {
			highest = score;
			home = candidate;
		}
	}

	return home;
}

function draw(candidates: readonly Candidate[], random: () => number): Candidate[] {
	return Array.from({length: samples}, () => candidates[Math.floor(random() * candidates.length)]);
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
