type Resting = {readonly id: string; readonly restMs: number};

/** Targets that a line names one by one; of more it gives the number. */
const mostNamed = 4;

/** Names targets that rest, and for how long they still do, for the line on a request. */
export function describeRests(resting: readonly Resting[]): string {
	const named = resting.slice(0, mostNamed).map(({id, restMs}) => `${id} (rests ${Math.round(restMs)} ms more)`).join(', ');
	const others = resting.length - mostNamed;
	return others > 0 ? `${named} and ${others} more` : named;
}
