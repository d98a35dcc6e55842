/** Exit codes of `wardswitch`. */
export const exitCode = {
	ok: 0,
	/** Nothing was changed: the input is invalid, the change was refused, or nothing was found. */
	refused: 1,
	/** The command line or the settings are invalid. */
	usage: 2,
	/** The platform or the entries could not be reached; nothing was changed. */
	unavailable: 3,
	/** The change may or may not have been accepted (`table status ID` shows the outcome), or `--wait` timed out. */
	unknown: 4,
} as const;
