/** Callers honour `Retry-After` up to a third of their remaining time; a little less stays within that. */
const honouredShare = 0.32;

/**
 * Chooses when a caller whose request did not run should retry. Outages usually last for seconds and a caller that
 * retries too early is refused again, so the delay is the longest that callers honour; after an overload it is spread,
 * so that callers do not retry together.
 *
 * While no target is available, a retry is useless before the first one takes requests again. Callers refused meanwhile
 * retry over a period of the same length after that, at the rate at which they were refused.
 *
 * @param leftMs - time that the caller has left, milliseconds
 * @param spread - 0 to 1: how much earlier than the longest delay, or later than `unavailableMs`, the caller retries
 * @param unavailableMs - time until a target takes requests again, milliseconds; 0 when some do
 * @returns milliseconds from now
 */
export function chooseRetryDelay(leftMs: number, spread: number, unavailableMs: number): number {
	const latestMs = Math.max(0, leftMs) * honouredShare;
	return unavailableMs === 0 ? latestMs * (1 - spread) : unavailableMs + (spread * Math.max(0, Math.min(unavailableMs, latestMs - unavailableMs)));
}
