const prefix = 'wardswitch/planners/';

/**
 * Returns the store key that a group's planner holds under a lease. Each group elects its own planner, since the traffic
 * of a planner grows with its ranks: with one planner for three groups of 24 ranks, a link of 5.6 Mbit/s was saturated
 * and reports arrived up to 540 ms late (`features/planner-load.feature`).
 */
export function getPlannerKey(service: string, group: string): string {
	return `${prefix}${service}/${group}`;
}
