import {type ExpertCounts} from './expert-counts.js';

/** Least time between two readings of a rank's counts, milliseconds: demand shifts every few seconds. */
const minimumIntervalMs = 200;
/** Bytes of one count in a frame, as counts of some thousands are written. */
const bytesPerCount = 3;
/** What the counts of all ranks may take of the planner's link, bytes a second: a third of 5.6 Mbit/s, the users' least. */
const linkBytesPerSecond = 230_000;
const secondMs = 1000;

/**
 * Time between two readings of a rank's counts, milliseconds: all ranks of a group send theirs to one planner, so that
 * the larger the group and its map are, the less often they do.
 *
 * @param ranks - ranks of the group
 */
export function getCountInterval(ranks: number, {chosen}: Pick<ExpertCounts, 'chosen'>): number {
	const numbers = chosen.length * (chosen.at(0)?.length ?? 0);
	return Math.max(minimumIntervalMs, Math.ceil(secondMs * ranks * numbers * bytesPerCount / linkBytesPerSecond));
}
