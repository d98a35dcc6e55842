/** What a crowd of callers sends its requests to. */
export type CrowdAim = {
	/** Largest body that the entry accepts, bytes. */
	readonly bodyBytes: number;
	/** Path of requests that the target answers at once; below it, `hold` waits, and `large` has a large answer. */
	readonly path: string;
	/** Headers that a request needs, each with its line end. */
	readonly makeHeaders: () => string;
};
