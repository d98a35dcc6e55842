import {type UnavailableTarget} from './unavailable-target.js';

/** Targets listed by name in a log line; further ones are counted. */
const maximumNamed = 4;

/** Lists unavailable targets with the cause and the remaining time, for the log line on a request. */
export function describeUnavailableTargets(targets: readonly UnavailableTarget[]): string {
	const named = targets.slice(0, maximumNamed).map(({id, cause, waitMs}) => `${id} (${cause} ${Math.round(waitMs)} ms more)`).join(', ');
	const others = targets.length - maximumNamed;
	return others > 0 ? `${named} and ${others} more` : named;
}
