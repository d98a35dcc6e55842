/** A target that takes no requests now, the cause, and the least time until it does, milliseconds. */
export type UnavailableTarget = {readonly id: string; readonly cause: string; readonly waitMs: number};
