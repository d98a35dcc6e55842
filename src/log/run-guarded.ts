type Log = (message: string) => void;

/**
 * Runs one step of a task that nothing waits for. What it throws or rejects with is logged as an error of that task, and ends no other.
 *
 * @param log - the task's log
 * @param step - what is done, as the subject of the log line
 */
export function runGuarded(log: Log, step: string, run: () => unknown): void {
	const report = (error: unknown): void => {
		log(`${step} failed with an internal error: ${error instanceof Error ? error.stack ?? error.message : String(error)}`);
	};

	try {
		const result = run();
		if (result instanceof Promise) {
			result.catch(report);
		}
	} catch (error) {
		report(error);
	}
}
