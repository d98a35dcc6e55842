/** When a request that is refused since this process stops is to be tried again, at another one, milliseconds. */
export const stopRetryAfterMs = 20;
