type Crash = {
	/** Milliseconds. */
	readonly at: number;
	/** Whether a request was lost in it that was sent after an earlier crash was known. */
	readonly isTried: boolean;
};

/** Nothing but a cause that targets share lets several of them crash within this time, milliseconds. */
const sameMomentMs = 800;

/** Counts the events in which targets crashed. Crashes at the same moment are one event, apart from those of requests that were sent after it. */
export function countCrashEvents(crashes: readonly Crash[]): number {
	let events = 0;
	let last: Crash = {at: Number.NEGATIVE_INFINITY, isTried: false};
	for (const crash of crashes.toSorted((one, other) => one.at - other.at || Number(one.isTried) - Number(other.isTried))) {
		if (crash.at - last.at >= sameMomentMs || (crash.isTried && !last.isTried)) {
			events++;
			last = crash;
		}
	}

	return events;
}
