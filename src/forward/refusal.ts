/** The decision not to send a request to any target (again). */
export type Refusal = {
	/** The reason, for the caller. */
	readonly detail: string;
	/** How far the callers' retries are spread, 0 to 1; see `chooseRetryDelay`. */
	readonly spread: number;
	/** Where no target is available, time until the first one is, milliseconds. */
	readonly unavailableMs?: number;
	/** When the caller should retry, milliseconds; chosen by the above if absent. */
	readonly retryAfterMs?: number;
};
