import {type Target} from './target.js';

/**
 * Names what a target stops, slows down and recovers together with: its group of ranks where that is known, its service
 * otherwise. What is seen of one group says nothing of another.
 */
export function getFailureDomain({service, group}: Pick<Target, 'service' | 'group'>): string {
	return group === undefined ? service : `${service}/${group}`;
}
