/** A target that may not be sent anything now, why, and for how long at least, milliseconds. */
export type UnavailableTarget = {readonly id: string; readonly cause: string; readonly waitMs: number};
