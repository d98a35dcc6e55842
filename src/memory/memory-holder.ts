/** What holds memory of an account, and can be asked to give it up. */
export type MemoryHolder = {
	/** Memory that `release` would free: bytes, and since when they have been held, milliseconds; 0 bytes if none can be freed now. */
	readonly getReleasable: (now: number) => {readonly bytes: number; readonly since: number};
	/** Frees that memory at once; `now` in milliseconds. */
	readonly release: (now: number) => void;
};
