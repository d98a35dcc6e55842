/** Logs problems that are found again at every reading: each once, and again only after it was absent. */
export class ProblemLog {
	private known: ReadonlySet<string> = new Set();

	constructor(private readonly log: (problem: string) => void) {}

	/** Records all problems of the present reading. */
	update(problems: Iterable<string>): void {
		const present = new Set(problems);
		for (const problem of present) {
			if (!this.known.has(problem)) {
				this.log(problem);
			}
		}

		this.known = present;
	}
}
