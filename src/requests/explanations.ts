/** Why one request went as it did. */
type Explanation = {
	readonly id: string;
	readonly service: string;
	readonly organisation: string;
	readonly at: number;
	readonly tookMs: number;
	readonly outcome: string;
	readonly tableVersion: number;
	readonly decisions: readonly string[];
};

const maximumKept = 1000;

/** The decisions on the last requests, for `explain`. */
export class Explanations {
	private readonly kept = new Map<string, Explanation>();

	add(explanation: Explanation): void {
		this.kept.set(explanation.id, explanation);
		if (this.kept.size > maximumKept) {
			const [oldest] = this.kept.keys();
			this.kept.delete(oldest);
		}
	}

	get(id: string): Explanation | undefined {
		return this.kept.get(id);
	}
}
