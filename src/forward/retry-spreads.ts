/** How far retries are spread: a share of the delay, before its end. */
export const retrySpreads = {
	/** Retries that come together would fill the targets again. */
	overload: 0.6,
	/** Retries come as late as callers accept, slightly spread. */
	outage: 0.1,
} as const;
