/** Exit codes of `wardswitch`. */
export const exitCode = {
	ok: 0,
	/** Nothing was done: the input has problems, or a change was refused. */
	refused: 1,
	usage: 2,
	/** The platform or an entry could not be reached; nothing was done. */
	unavailable: 3,
	/** The change may or may not have been accepted; ask `table status ID`. */
	unknown: 4,
} as const;
