import {type Target} from '../fleet/target.js';

/** Returns the name of a target's incarnation: its id, and its time of birth where targets may restart under their id. */
export function formatIncarnation({id, bornAt}: Pick<Target, 'id' | 'bornAt'>): string {
	return bornAt === undefined ? id : `${id} ${bornAt}`;
}
