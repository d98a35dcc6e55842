/** Longest time between two looks at the clock, milliseconds: timers stand still while a VM is suspended. */
const longestTimerMs = 500;

/**
 * Calls something at a moment by the process's clock, or as soon as the VM is awake after it.
 *
 * @param moment - milliseconds, by `clock`
 * @returns what calls it off
 */
export function runAt(moment: number, clock: () => number, call: () => void): () => void {
	let timer: NodeJS.Timeout;
	const wait = (): void => {
		const leftMs = moment - clock();
		timer = setTimeout(leftMs <= longestTimerMs ? call : wait, Math.max(0, Math.min(longestTimerMs, leftMs)));
		// What waits for this has a connection, which keeps the process alive.
		timer.unref();
	};

	wait();
	return () => {
		clearTimeout(timer);
	};
}
