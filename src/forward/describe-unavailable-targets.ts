import {type UnavailableTarget} from './unavailable-target.js';

/** Targets that a line names one by one; of more it gives the number. */
const mostNamed = 4;

/** Names targets that are left out, why, and for how long they still are, for the line on a request. */
export function describeUnavailableTargets(targets: readonly UnavailableTarget[]): string {
	const named = targets.slice(0, mostNamed).map(({id, cause, waitMs}) => `${id} (${cause} ${Math.round(waitMs)} ms more)`).join(', ');
	const others = targets.length - mostNamed;
	return others > 0 ? `${named} and ${others} more` : named;
}
