/** Why no further target is asked; `spread` is how far the callers' return is spread, 0 to 1. */
export type Refusal = {
	readonly detail: string;
	readonly spread: number;
	/** Where no target may be sent anything, how long until the first may be, milliseconds. */
	readonly unavailableMs?: number;
};
