/** How far apart callers come back that met full targets, or an outage: as a share of the time that they wait, its last part. */
export const retrySpreads = {
	/** They would fill the targets again if they came together. */
	overload: 0.6,
	/** They come as late as they can, a little apart. */
	outage: 0.1,
} as const;
