/** Longest time between two readings of the clock, milliseconds: timers stop while a VM is suspended. */
const maximumTimerMs = 500;

/**
 * Calls a function at a time of the process's clock, or as soon as the VM resumes after it.
 *
 * @param time - milliseconds, on `clock`
 * @returns a function that cancels the call
 */
export function runAt(time: number, clock: () => number, call: () => void): () => void {
	let timer: NodeJS.Timeout;
	const wait = (): void => {
		const leftMs = time - clock();
		timer = setTimeout(leftMs <= maximumTimerMs ? call : wait, Math.max(0, Math.min(maximumTimerMs, leftMs)));
		// The waiting request has a connection, which keeps the process alive.
		timer.unref();
	};

	wait();
	return () => {
		clearTimeout(timer);
	};
}
