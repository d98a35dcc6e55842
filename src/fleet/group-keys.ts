const prefix = 'wardswitch/groups/';

/** Keys of the listings of groups in the store. */
export const groupKeys = {
	prefix,
	make: (service: string, group: string): string => `${prefix}${service}/${group}`,
};
