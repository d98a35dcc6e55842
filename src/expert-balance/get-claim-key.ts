const prefix = 'wardswitch/planner-epochs/';

/** Returns the store key of the claims that a group's planners make on its epochs. */
export function getClaimKey(service: string, group: string): string {
	return `${prefix}${service}/${group}`;
}
