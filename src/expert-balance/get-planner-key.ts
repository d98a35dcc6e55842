const prefix = 'wardswitch/planners/';

/**
 * Key of the office of a group's planner in the store. Each group has an office of its own: what a planner hears and
 * orders grows with the ranks that it plans for, and a VM's link carries that of one group. Three groups of 24 ranks
 * filled a link of 5.6 Mbit/s, and reports came up to 540 ms late (`features/planner-load.feature`).
 */
export function getPlannerKey(service: string, group: string): string {
	return `${prefix}${service}/${group}`;
}
