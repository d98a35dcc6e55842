/** Callers wait as told for up to a third of the time that they have left; a little less, so that it is still taken. */
const honouredShare = 0.32;

/**
 * Decides when a caller whose request did not run should come back. An outage lasts for seconds as a rule, and a
 * caller that comes back too early is turned away once more, so the time is the longest that callers keep to; after an
 * overload it is spread, so that they do not come back together.
 *
 * Where no target may be sent anything, nothing can be had before the first of them takes requests again. Callers who were refused meanwhile
 * come back over as long again as that still lasts, so at the pace at which they were refused.
 *
 * @param leftMs - time that the caller has left, milliseconds
 * @param spread - 0 to come back as late as possible, towards 1 to come back up to that share earlier
 * @param shutMs - time until a target takes requests again, milliseconds; 0 when some do
 * @returns milliseconds from now
 */
export function chooseRetryDelay(leftMs: number, spread: number, shutMs: number): number {
	const latestMs = Math.max(0, leftMs) * honouredShare;
	return shutMs === 0 ? latestMs * (1 - spread) : shutMs + (spread * Math.max(0, Math.min(shutMs, latestMs - shutMs)));
}
