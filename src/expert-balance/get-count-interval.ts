import {type ExpertCounts} from './expert-counts.js';

/** Minimum time between two readings of a rank's counts, milliseconds: demand shifts every few seconds. */
const minimumIntervalMs = 200;
/** Encoded size of one count in a link frame, bytes; counts reach some thousands. */
const bytesPerCount = 3;
/** Share of the planner's link that the counts of all ranks may use, bytes per second: a third of 5.6 Mbit/s, the slowest supported link. */
const linkBytesPerSecond = 230_000;
const secondMs = 1000;

/**
 * Returns the time between two readings of a rank's counts, milliseconds. All ranks of a group send their counts to one
 * planner, so large groups and maps are read less often.
 *
 * @param ranks - ranks of the group
 */
export function getCountInterval(ranks: number, {chosen}: Pick<ExpertCounts, 'chosen'>): number {
	const numbers = chosen.length * (chosen.at(0)?.length ?? 0);
	return Math.max(minimumIntervalMs, Math.ceil(secondMs * ranks * numbers * bytesPerCount / linkBytesPerSecond));
}
