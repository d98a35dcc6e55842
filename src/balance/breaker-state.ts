/** How a target stands with this entry: left alone for a while; doubtful, since it refused what it was sent last; or sound, as far as known. */
export type BreakerState = 'avoided' | 'doubtful' | 'sound';
