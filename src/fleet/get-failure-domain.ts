import {type Target} from './target.js';

/**
 * Names the targets that stop, slow down and recover together with a target: its group of ranks if that is known, otherwise its
 * service. Observations of one group say nothing about another.
 */
export function getFailureDomain({service, group}: Pick<Target, 'service' | 'group'>): string {
	return group === undefined ? service : `${service}/${group}`;
}
