/** Those who have written what a copy of the store lacks write it again within this time, milliseconds. */
export const rewriteWindowMs = 2000;
