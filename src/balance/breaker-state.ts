/**
 * State of the circuit breaker that an entry keeps for each target. The values correspond to the usual states:
 * 'avoided' is open (in backoff), 'doubtful' is half-open (refused its last request; is probed), 'sound' is closed (no known fault).
 */
export type BreakerState = 'avoided' | 'doubtful' | 'sound';
