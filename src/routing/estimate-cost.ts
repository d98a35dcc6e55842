import {type Candidate} from './candidate.js';

/** Round trip to another availability zone, milliseconds; one way takes 1 to 1.5 ms. */
const remoteRoundTripMs = 3;
/** Slowdown by batching at a fully used engine, as a share of the service time. */
const batchingShare = 0.05;

/** Estimates the extra latency of sending one more request to a target, milliseconds. */
export function estimateCost(candidate: Candidate): number {
	const inFlight = candidate.running + candidate.waiting + candidate.sentSinceReport;
	const excess = Math.max(0, inFlight + 1 - candidate.concurrency);
	const waitMs = (excess / candidate.concurrency) * candidate.serviceMs;
	const batchingMs = (inFlight / candidate.concurrency) * candidate.serviceMs * batchingShare;
	return waitMs + batchingMs + (candidate.isLocal ? 0 : remoteRoundTripMs);
}
