/** How one request was handled. Encoded as JSON for `/explain`: `at` is its arrival, milliseconds since the epoch. */
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

const maximumExplanations = 1000;
/** Characters of a decision that are kept: some repeat what the caller has sent. */
const maximumDecisionLength = 500;

/** The decisions on the most recent requests, for `/explain`; the oldest is evicted above the maximum. */
export class Explanations {
	private readonly byId = new Map<string, Explanation>();

	add(explanation: Explanation): void {
		this.byId.set(explanation.id, {...explanation, decisions: explanation.decisions.map(decision => decision.slice(0, maximumDecisionLength))});
		if (this.byId.size > maximumExplanations) {
			const [oldest] = this.byId.keys();
			this.byId.delete(oldest);
		}
	}

	get(id: string): Explanation | undefined {
		return this.byId.get(id);
	}
}
