import {type Candidate} from './candidate.js';

/** Round trip to another zone, milliseconds: the users' zones lie 1 to 1.5 ms apart one way. */
const remoteRoundTripMs = 3;
/** What a fully used engine costs beside waiting, since batches make each other slower; share of the service time. */
const crowdingShare = 0.05;

/** Expected extra time of sending one more request to a target, milliseconds. */
export function estimateCost(candidate: Candidate): number {
	const present = candidate.running + candidate.waiting + candidate.sentSinceReport;
	const excess = Math.max(0, present + 1 - candidate.concurrency);
	const waitMs = (excess / candidate.concurrency) * candidate.serviceMs;
	const crowdingMs = (present / candidate.concurrency) * candidate.serviceMs * crowdingShare;
	return waitMs + crowdingMs + (candidate.isLocal ? 0 : remoteRoundTripMs);
}
